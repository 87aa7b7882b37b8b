package flaky_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/flaky"
)

// TestStallOfEarlyConnection guards against a connection that never stalls, because it was dialed before the
// test had registered its address. A node that is to be cut off then is not.
func TestStallOfEarlyConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	n := flaky.New()
	c, err := n.Dialer("node-1").DialContext(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	peer, err := l.Accept()
	assert.NilError(t, err)
	defer peer.Close()

	n.RegisterAddress(l.Addr().String(), "node-2")
	n.Stall("node-1", "node-2")
	_, err = io.WriteString(c, "late")
	assert.NilError(t, err)
	text := make([]byte, len("late"))
	assert.NilError(t, peer.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = io.ReadFull(peer, text)
	assert.ErrorContains(t, err, "timeout")
	n.ResumeAll()
	assert.NilError(t, peer.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err = io.ReadFull(peer, text)
	assert.NilError(t, err)
}
