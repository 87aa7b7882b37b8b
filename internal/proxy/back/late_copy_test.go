package back_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/proxy/back"
)

// attemptAt makes an attempt at a request and returns the status of its response.
func (f *testServer) attemptAt(request string, deadline time.Time) int {
	f.t.Helper()
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+f.address+"/x", strings.NewReader("body"))
	assert.NilError(f.t, err)
	r.Header.Set(idHeader, request)
	response, err := f.pool.Do(f.t.Context(), f.address, r, back.Options{Request: request, Deadline: deadline})
	assert.NilError(f.t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(f.t, err)
	return response.StatusCode
}

// TestLateCopyIsNotTheNextAttemptsResponse guards against a caller who is told that its request was not run
// although it was: the backend server refuses the first attempt at it and sends that refusal once more
// while it works on the second one, which has the same id.
func TestLateCopyIsNotTheNextAttemptsResponse(t *testing.T) {
	for name, others := range map[string]int{"next request": 0, "other requests between": 3} {
		t.Run(name, func(t *testing.T) {
			var refused atomic.Bool
			f := serve(t, func(c *serverConn) {
				refusal := ""
				for id := c.readRequest(); id != ""; id = c.readRequest() {
					if id == "order" && refused.CompareAndSwap(false, true) {
						refusal = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: order\r\nContent-Length: 0\r\n\r\n", idHeader)
						_, _ = io.WriteString(c, refusal)
						continue
					}
					if id == "order" {
						_, _ = io.WriteString(c, refusal)
					}
					c.respond(id, "done", "")
				}
			})
			deadline := f.clock.Now().Add(time.Second)
			assert.Equal(t, f.attemptAt("order", deadline), http.StatusServiceUnavailable)
			for i := range others {
				assert.Equal(t, f.attemptAt(fmt.Sprint(i), deadline), http.StatusOK)
			}
			assert.Equal(t, f.attemptAt("order", deadline), http.StatusOK)
		})
	}
}

// TestConnectionsAreReusedByOtherRequests guards against a new connection for each request, or for one that
// comes again after its deadline.
func TestConnectionsAreReusedByOtherRequests(t *testing.T) {
	f := serve(t, echo)
	deadline := f.clock.Now().Add(time.Second)
	for i := range 20 {
		f.attemptAt(fmt.Sprint(i), deadline)
	}
	assert.Equal(t, f.conns.Load(), int64(1))
	f.clock.Advance(3 * time.Second)
	f.attemptAt("a", f.clock.Now().Add(time.Second))
	f.attemptAt("1", f.clock.Now().Add(time.Second))
	assert.Equal(t, f.conns.Load(), int64(1))
	f.attemptAt("1", f.clock.Now().Add(time.Second))
	assert.Equal(t, f.conns.Load(), int64(2))
}

// TestConnectionForgetsNoRequest guards against a connection that has carried too many requests to remember
// them all, and gets a second attempt at one of them.
func TestConnectionForgetsNoRequest(t *testing.T) {
	f := serve(t, echo)
	deadline := f.clock.Now().Add(time.Hour)
	const requests = 1100
	for i := range requests {
		f.attemptAt(fmt.Sprint(i), deadline)
	}
	dials := f.conns.Load()
	assert.Check(t, dials > 1 && dials < 5, "%d connections", dials)
	f.attemptAt(fmt.Sprint(requests-1), deadline)
	assert.Equal(t, f.conns.Load(), dials+1)
}
