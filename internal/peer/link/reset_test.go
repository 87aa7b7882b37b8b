package link

import (
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// errBroken is what a broken connection's writes return.
var errBroken = errors.New("broken")

// brokenConn fails to write; its reads wait for Close, which waits for a moment.
type brokenConn struct {
	net.Conn
	closed chan struct{}
}

// Write fails.
func (c *brokenConn) Write([]byte) (int, error) {
	return 0, errBroken
}

// Read waits for the end.
func (c *brokenConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, net.ErrClosed
}

// Close ends the reads.
func (c *brokenConn) Close() error {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return nil
}

// TestReceiverClosesABrokenSession: where a write fails, the reading ends first,
// and the write returns only once the session is closed. A session that is closed
// by its sender leaves its streams' readers spinning until the receiver is done.
func TestReceiverClosesABrokenSession(t *testing.T) {
	raw := &brokenConn{closed: make(chan struct{})}
	j := newJoined(raw)
	written := make(chan error, 1)
	go func() {
		_, err := j.Write([]byte("ping"))
		written <- err
	}()
	_, err := j.Read(make([]byte, 1))
	assert.ErrorIs(t, err, net.ErrClosed)
	select {
	case <-written:
		t.Fatal("the write returned before the session was closed")
	case <-time.After(50 * time.Millisecond):
	}
	assert.NilError(t, j.Close())
	assert.ErrorIs(t, <-written, errBroken)
	assert.NilError(t, j.Close())
}
