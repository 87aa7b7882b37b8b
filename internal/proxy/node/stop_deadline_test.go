package node_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/fleet"
	"github.com/figwick/figwick/internal/fake/server"
	"github.com/figwick/figwick/internal/policy/fence"
	"github.com/figwick/figwick/internal/proxy/front"
)

// TestStopKeepsRequestsThatEndInTime guards against a graceful stop that breaks off, shortly before its end, a
// request whose deadline comes before that end. Its response is too large to be recovered by a fence.
func TestStopKeepsRequestsThatEndInTime(t *testing.T) {
	const (
		deadline = stopDrainTimeout - 250*time.Millisecond
		// works ends after the fences of a stop have begun.
		works = stopDrainTimeout - 450*time.Millisecond
	)
	g := newGate()
	whole := bytes.Repeat([]byte("x"), 2*fence.MaxAnswerBytes)
	b := startFleet(t, fleet.Config{Nodes: 2, DrainTimeout: stopDrainTimeout}, 1, server.Config{
		Handler: func(w http.ResponseWriter, _ *http.Request) {
			g.entered <- struct{}{}
			time.Sleep(works)
			_, _ = w.Write(whole)
		},
	})
	r := b.request(1, http.MethodPost, "/orders", nil)
	r.Header.Set(front.TimeoutHeader, deadline.String())
	response := make(chan *http.Response, 1)
	go func() {
		got, err := b.client.Do(r)
		assert.Check(t, err)
		response <- got
	}()
	g.await(t)
	stopped := make(chan error, 1)
	go func() { stopped <- b.Nodes[1].Stop() }()
	got := <-response
	if got != nil {
		defer got.Body.Close()
		assert.Equal(t, got.StatusCode, http.StatusOK)
		text, err := io.ReadAll(got.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(text), len(whole))
	}
	assert.NilError(t, <-stopped)
}
