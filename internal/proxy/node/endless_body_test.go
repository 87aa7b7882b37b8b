package node_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/server"
)

// TestEndlessBodyEndsWithItsCaller guards against a slot that is held for ever, and stops
// that take their whole time, by a response without end whose caller has left.
func TestEndlessBodyEndsWithItsCaller(t *testing.T) {
	ended := make(chan struct{}, 1)
	b := start(t, 2, 1, server.Config{Handler: func(w http.ResponseWriter, r *http.Request) {
		part := make([]byte, 32<<10)
		for r.Context().Err() == nil {
			if _, err := w.Write(part); err != nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		ended <- struct{}{}
	}})
	c := dialCaller(t, b.Nodes[1].Callers)
	c.send(t, "endless")
	_, err := c.reader.Peek(1)
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	select {
	case <-ended:
	case <-time.After(15 * time.Second):
		t.Fatal("the backend server still sends 15 s after the caller has left")
	}
}
