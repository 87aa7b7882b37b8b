package node_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/fleet"
	"github.com/figwick/figwick/internal/fake/server"
)

type (
	// pausedListener accepts connections on which a goroutine that sets a short read deadline
	// pauses until the deadline has passed, as on a busy CPU.
	pausedListener struct {
		net.Listener
	}

	pausedConn struct {
		net.Conn
	}
)

func (l pausedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return pausedConn{c}, err
}

func (c pausedConn) SetReadDeadline(deadline time.Time) error {
	err := c.Conn.SetReadDeadline(deadline)
	if wait := time.Until(deadline); wait > 0 && wait < time.Second {
		time.Sleep(wait + 50*time.Millisecond)
	}
	return err
}

// TestPauseBeforeResponseCutsNothing guards against a response that is cut because its node paused
// for a moment when it began to send it, although the request's body had been read.
func TestPauseBeforeResponseCutsNothing(t *testing.T) {
	const half = 200 << 10
	b := startFleet(t, fleet.Config{
		Nodes: 2, WrapCallers: func(l net.Listener) net.Listener { return pausedListener{l} },
	}, 1, server.Config{Handler: func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(make([]byte, half))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(300 * time.Millisecond)
		_, _ = w.Write(make([]byte, half))
	}})
	response, err := b.client.Do(b.request(1, http.MethodPost, "/orders", bytes.NewReader([]byte("body"))))
	assert.NilError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(text), 2*half)
}
