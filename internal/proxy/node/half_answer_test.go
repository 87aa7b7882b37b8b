package node_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/fleet"
	"github.com/figwick/figwick/internal/fake/server"
	"github.com/figwick/figwick/internal/proxy/front"
)

// startHalf starts a fleet whose backend server sends the header and a part of the body
// of each response, and the rest when the gate opens.
func startHalf(t *testing.T) (*bench, *gate) {
	t.Helper()
	g := newGate()
	b := startFleet(t, fleet.Config{Nodes: 2, DrainTimeout: stopDrainTimeout}, 1, server.Config{
		Handler: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "40000")
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			g.serve(w, r)
		},
	})
	return b, g
}

// TestStopAnswersHalfReceivedResponses guards against a stop that closes a caller's
// connection without an answer because the response's body was not complete in time.
func TestStopAnswersHalfReceivedResponses(t *testing.T) {
	for _, path := range []string{"/orders", "/lookup"} {
		t.Run(path, func(t *testing.T) {
			b, g := startHalf(t)
			answer := b.send(b.request(1, http.MethodPost, path, nil))
			g.await(t)
			assert.NilError(t, b.Nodes[1].Stop())
			got := <-answer
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusBadGateway, got.text)
			assert.Equal(t, got.outcome, front.OutcomeUnknown)
		})
	}
}

// TestDeadlineAnswersHalfReceivedResponses guards against callers that wait beyond their
// deadline for a response of which nothing has been passed on.
func TestDeadlineAnswersHalfReceivedResponses(t *testing.T) {
	b, g := startHalf(t)
	r := b.request(1, http.MethodPost, "/orders", nil)
	r.Header.Set(front.TimeoutHeader, "500ms")
	answer := b.send(r)
	g.await(t)
	select {
	case got := <-answer:
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusGatewayTimeout, got.text)
		assert.Equal(t, got.outcome, front.OutcomeUnknown)
	case <-time.After(2 * time.Second):
		t.Fatal("no answer 1.5 s after the deadline")
	}
}
