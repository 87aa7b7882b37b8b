package node_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/fleet"
	"github.com/figwick/figwick/internal/fake/kvs"
	"github.com/figwick/figwick/internal/fake/server"
	"github.com/figwick/figwick/internal/proxy/front"
)

// keyedDrainTimeout is less than the ingress waits for the store.
const keyedDrainTimeout = 1500 * time.Millisecond

// sendKeyed sends a request with an idempotency key, which is also its id.
func (c *caller) sendKeyed(t *testing.T, id string) {
	t.Helper()
	_, err := fmt.Fprintf(c, "POST /orders HTTP/1.1\r\nHost: shop.test\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
		server.RequestHeader, id, front.KeyHeader, id)
	assert.NilError(t, err)
}

// TestStopAnswersKeyedRequests guards against a graceful stop that ends while a request waits for
// the store, which holds the idempotency keys, and leaves it with neither an answer nor a refusal.
func TestStopAnswersKeyedRequests(t *testing.T) {
	slow := kvs.Faults{Slow: time.Minute}
	for _, c := range []struct {
		name string
		// running reports that the store becomes slow while the request runs.
		running bool
		status  int
	}{
		{"the key is claimed", false, http.StatusBadGateway},
		{"the response is stored", true, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGate()
			b := startFleet(t, fleet.Config{Nodes: 2, DrainTimeout: keyedDrainTimeout}, 1, server.Config{Handler: g.serve})
			conn := dialCaller(t, b.Nodes[1].Callers)
			if c.running {
				conn.sendKeyed(t, "order")
				g.await(t)
				b.Store.Inject(slow)
			} else {
				b.Store.Inject(slow)
				conn.sendKeyed(t, "order")
				time.Sleep(100 * time.Millisecond)
			}
			stopped := make(chan error, 1)
			go func() { stopped <- b.Nodes[1].Stop() }()
			assert.NilError(t, b.Until(b.ctx, func() bool { return !b.Nodes[1].Node.Ready().Ready }))
			close(g.leave)
			assert.NilError(t, <-stopped)
			// The process has ended by now: what has not been sent would be lost.
			assert.NilError(t, conn.SetDeadline(time.Now().Add(readSlack)))
			response, err := http.ReadResponse(conn.reader, nil)
			assert.NilError(t, err, "the request ran %d times", b.runs("order"))
			defer response.Body.Close()
			text, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, c.status, string(text))
		})
	}
}
