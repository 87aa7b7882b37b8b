package node_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/fleet"
	"github.com/figwick/figwick/internal/fake/server"
)

// slowWrites accepts connections on which each write takes a while.
type slowWrites struct {
	net.Listener
	takes time.Duration
}

type slowWriter struct {
	net.Conn
	takes time.Duration
}

func (l slowWrites) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowWriter{Conn: c, takes: l.takes}, nil
}

func (c slowWriter) Write(p []byte) (int, error) {
	time.Sleep(c.takes)
	return c.Conn.Write(p)
}

// TestStopSendsLateAnswers guards against a graceful stop that ends at its time limit while the
// answers to the last requests are being sent, as on a VM that is short of processor time.
func TestStopSendsLateAnswers(t *testing.T) {
	g := newGate()
	b := startFleet(t, fleet.Config{
		Nodes: 2, DrainTimeout: stopDrainTimeout,
		WrapCallers: func(l net.Listener) net.Listener { return slowWrites{Listener: l, takes: 300 * time.Millisecond} },
	}, 1, server.Config{Handler: g.serve, Slots: 1})
	c := dialCaller(t, b.Nodes[1].Callers)
	_, err := io.WriteString(c, "GET /running HTTP/1.1\r\nHost: shop.test\r\n\r\n")
	assert.NilError(t, err)
	g.await(t)
	assert.NilError(t, b.Nodes[1].Stop())
	assert.NilError(t, c.SetDeadline(time.Now().Add(readSlack)))
	response, err := c.receive()
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
}
