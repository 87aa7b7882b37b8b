package node_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/fleet"
	"github.com/figwick/figwick/internal/fake/server"
)

// failingListener fails for good when fail is closed.
type failingListener struct {
	net.Listener
	fail chan struct{}
}

func (l *failingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	select {
	case <-l.fail:
		return nil, errors.New("listener failed")
	default:
		return c, err
	}
}

// TestFailedListenerStopsGracefully guards against requests in flight that are cut off
// because a listener of their node has failed.
func TestFailedListenerStopsGracefully(t *testing.T) {
	fail := make(chan struct{})
	g := newGate()
	b := startFleet(t, fleet.Config{
		Nodes: 2, DrainTimeout: 20 * time.Second,
		WrapCallers: func(l net.Listener) net.Listener { return &failingListener{Listener: l, fail: fail} },
	}, 2, server.Config{Handler: func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			g.serve(w, r)
			return
		}
		_, _ = io.WriteString(w, "done")
	}})
	answer := b.send(b.request(1, http.MethodPost, "/slow", nil))
	g.await(t)
	close(fail)
	c, err := net.Dial("tcp", b.Nodes[1].Callers)
	assert.NilError(t, err)
	defer c.Close()
	time.Sleep(200 * time.Millisecond)
	close(g.leave)
	got := <-answer
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK, got.text)
	assert.ErrorContains(t, b.Nodes[1].Stop(), "listener failed")
}
