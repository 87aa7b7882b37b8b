package node_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/fleet"
	"github.com/figwick/figwick/internal/fake/server"
	"github.com/figwick/figwick/internal/proxy/front"
)

// sendPart sends the header of a request and a part of its body.
func (c *caller) sendPart(t *testing.T, path, field string) {
	t.Helper()
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: shop.test\r\n%sContent-Length: 100\r\n\r\npart", path, field)
	assert.NilError(t, err)
}

// awaitStatus waits for a response for up to the given time and checks its status.
func (c *caller) awaitStatus(t *testing.T, wait time.Duration, status int) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(wait)))
	response, err := c.receive()
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, status)
}

// TestStalledBody guards against requests that stay unanswered, and stops that take their
// whole time, because a caller does not send the rest of its body.
func TestStalledBody(t *testing.T) {
	b := startFleet(t, fleet.Config{Nodes: 2, DrainTimeout: 20 * time.Second}, 1, server.Config{
		Handler: func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/early" {
				assert.Check(t, http.NewResponseController(w).EnableFullDuplex())
				w.WriteHeader(http.StatusForbidden)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
		},
	})
	timeout := fmt.Sprintf("%s: 500ms\r\n", front.TimeoutHeader)
	// The connections stay open during the stop.
	open := func() *caller { return dialCaller(t, b.Nodes[1].Callers) }
	t.Run("deadline", func(t *testing.T) {
		c := open()
		c.sendPart(t, "/orders", timeout)
		c.awaitStatus(t, 1500*time.Millisecond, http.StatusGatewayTimeout)
	})
	t.Run("early response", func(t *testing.T) {
		c := open()
		c.sendPart(t, "/early", "")
		c.awaitStatus(t, 1500*time.Millisecond, http.StatusForbidden)
	})
	t.Run("refusal", func(t *testing.T) {
		c := open()
		c.sendPart(t, "/orders", "Upgrade: other\r\n")
		c.awaitStatus(t, 1500*time.Millisecond, http.StatusNotImplemented)
	})
	began := time.Now()
	assert.NilError(t, b.Nodes[1].Stop())
	assert.Check(t, time.Since(began) < 10*time.Second, "the stop took %s", time.Since(began))
}
