package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/fleet"
	"github.com/figwick/figwick/internal/fake/server"
)

type (
	// heldReads are the reads of callers' connections that return late, as on a busy
	// CPU: the bytes are read, but the server does not have them yet.
	heldReads struct {
		hold    atomic.Bool
		read    chan struct{}
		release chan struct{}
		// closed receives a value when a connection is closed.
		closed chan struct{}
	}

	heldListener struct {
		net.Listener
		reads *heldReads
	}

	heldConn struct {
		net.Conn
		reads *heldReads
	}
)

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{Conn: c, reads: l.reads}, nil
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.reads.hold.Load() {
		c.reads.read <- struct{}{}
		<-c.reads.release
	}
	return n, err
}

func (c *heldConn) Close() error {
	select {
	case c.reads.closed <- struct{}{}:
	default:
	}
	return c.Conn.Close()
}

// caller is a connection of a caller, on which requests are sent one at a time.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func dialCaller(t *testing.T, address string) *caller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(time.Minute)))
	return &caller{Conn: c, reader: bufio.NewReader(c)}
}

func (c *caller) send(t *testing.T, id string) {
	t.Helper()
	_, err := fmt.Fprintf(c, "POST /orders HTTP/1.1\r\nHost: shop.test\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", server.RequestHeader, id)
	assert.NilError(t, err)
}

func (c *caller) receive() (*http.Response, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// TestStopKeepsConnectionWithRequest guards against a stop that closes a connection as
// idle although a whole request has been read from it, which then runs without an
// answer.
func TestStopKeepsConnectionWithRequest(t *testing.T) {
	reads := &heldReads{read: make(chan struct{}, 1), release: make(chan struct{}), closed: make(chan struct{}, 1)}
	b := startFleet(t, fleet.Config{
		Nodes: 2, DrainTimeout: 10 * time.Second,
		WrapCallers: func(l net.Listener) net.Listener { return &heldListener{Listener: l, reads: reads} },
	}, 2, server.Config{Handler: workAndCall})
	c := dialCaller(t, b.Nodes[0].Callers)
	c.send(t, "first")
	response, err := c.receive()
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	// The node waits for the next request.
	time.Sleep(100 * time.Millisecond)
	reads.hold.Store(true)
	c.send(t, "second")
	<-reads.read
	reads.hold.Store(false)
	stopped := make(chan error, 1)
	go func() { stopped <- b.Nodes[0].Stop() }()
	assert.NilError(t, b.Until(b.ctx, func() bool { return !b.Nodes[0].Node.Ready().Ready }))
	select {
	case <-reads.closed:
	case <-time.After(300 * time.Millisecond):
	}
	close(reads.release)
	response, err = c.receive()
	assert.NilError(t, err, "the request ran %d times", b.runs("second"))
	assert.Check(t, response.Close, "the response does not say that the connection closes")
	assert.Equal(t, response.StatusCode == http.StatusOK, b.runs("second") == 1)
	assert.NilError(t, <-stopped)
}

// TestStopAnswersRequestReadWhileDraining guards against a request that is dropped without
// an answer because the rest of its header arrives while the node drains.
func TestStopAnswersRequestReadWhileDraining(t *testing.T) {
	g := newGate()
	b := startFleet(t, fleet.Config{Nodes: 2, DrainTimeout: 20 * time.Second}, 2, server.Config{
		Handler: func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				g.serve(w, r)
			}
		},
	})
	slow := b.send(b.request(0, http.MethodGet, "/slow", nil))
	g.await(t)
	c := dialCaller(t, b.Nodes[0].Callers)
	_, err := io.WriteString(c, "POST /orders HTTP/1.1\r\nHost: shop.test\r\nContent-Length: 0\r\n")
	assert.NilError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- b.Nodes[0].Stop() }()
	assert.NilError(t, b.Until(b.ctx, func() bool {
		_, err := io.WriteString(c, "X-Pad: 1\r\n")
		assert.NilError(t, err)
		probe, err := net.Dial("tcp", b.Nodes[0].Callers)
		if err == nil {
			_ = probe.Close()
		}
		return err != nil
	}))
	time.Sleep(50 * time.Millisecond)
	_, err = fmt.Fprintf(c, "%s: late\r\n\r\n", server.RequestHeader)
	assert.NilError(t, err)
	response, err := c.receive()
	assert.NilError(t, err, "the request ran %d times", b.runs("late"))
	assert.Check(t, response.Close)
	assert.Equal(t, response.StatusCode == http.StatusOK, b.runs("late") == 1)
	close(g.leave)
	assert.Equal(t, (<-slow).status, http.StatusOK)
	assert.NilError(t, <-stopped)
}
