package node_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/fleet"
	"github.com/figwick/figwick/internal/fake/server"
)

// TestStopAnswersWaitingRequest guards against a graceful stop that ends while a request waits
// for a free slot, and leaves it with neither an answer nor a refusal.
func TestStopAnswersWaitingRequest(t *testing.T) {
	g := newGate()
	b := startFleet(t, fleet.Config{Nodes: 2, DrainTimeout: stopDrainTimeout}, 1, server.Config{Handler: g.serve, Slots: 1})
	running := b.send(b.request(0, http.MethodGet, "/running", nil))
	g.await(t)
	c := dialCaller(t, b.Nodes[1].Callers)
	c.send(t, "waiting")
	time.Sleep(100 * time.Millisecond)
	assert.NilError(t, b.Nodes[1].Stop())
	// The process has ended by now: what has not been sent would be lost.
	assert.NilError(t, c.SetDeadline(time.Now().Add(readSlack)))
	response, err := c.receive()
	assert.NilError(t, err, "the request ran %d times", b.runs("waiting"))
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	close(g.leave)
	assert.Equal(t, (<-running).status, http.StatusOK)
	assert.Equal(t, b.runs("waiting"), 0)
}
