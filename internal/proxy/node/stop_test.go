package node_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/server"
)

const (
	slots    = 3
	download = 1 << 20
)

// TestPlannedStopCutsNothing stops the node that runs the work, then the node
// that took it, while a long download, requests that hold all slots and one that
// waits in the queue are in progress.
func TestPlannedStopCutsNothing(t *testing.T) {
	for _, c := range []struct {
		name string
		stop int
	}{
		{"the sidecar's node", 1},
		{"the ingress's node", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGate()
			b, _ := flakyBench(t, server.Config{Handler: func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/warm" {
					return
				}
				if r.URL.Path == "/download" {
					_, _ = w.Write(bytes.Repeat([]byte("x"), download/2))
					_ = http.NewResponseController(w).Flush()
				}
				g.entered <- struct{}{}
				<-g.leave
				_, _ = w.Write(bytes.Repeat([]byte("x"), download/2))
			}}, 1)
			var answers []<-chan reply
			for range slots - 1 {
				answers = append(answers, b.send(b.request(0, http.MethodGet, "/slow", nil)))
			}
			for range slots - 1 {
				g.await(t)
			}
			response, err := b.client.Do(b.request(0, http.MethodGet, "/download", nil))
			assert.NilError(t, err)
			defer response.Body.Close()
			g.await(t)
			order := b.order(0, "queued")
			answers = append(answers, b.send(order))
			assert.NilError(t, b.Until(b.ctx, func() bool {
				for _, s := range b.Nodes[1].Node.Dump().Controller.Services {
					if s.Queued == 1 {
						return true
					}
				}
				return false
			}))
			stopped := make(chan error, 1)
			go func() { stopped <- b.Nodes[c.stop].Stop() }()
			assert.NilError(t, b.Until(b.ctx, func() bool { return !b.Nodes[c.stop].Node.Ready().Ready }))
			close(g.leave)
			text, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, len(text), download)
			for _, answer := range answers {
				got := <-answer
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK, got.text)
			}
			assert.Equal(t, b.runs("queued"), 1)
			assert.NilError(t, <-stopped)
		})
	}
}
