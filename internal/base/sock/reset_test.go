package sock_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/sock"
)

// slowWriter is a connection on which a failed Write returns late, as that of a goroutine that is
// not scheduled at once.
type slowWriter struct {
	net.Conn
}

func (s slowWriter) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
	}
	return n, err
}

// connect returns both ends of a connection.
func connect(t *testing.T) (client net.Conn, peer *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	client, err = net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	accepted, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = client.Close()
		_ = accepted.Close()
	})
	return client, accepted.(*net.TCPConn)
}

// writeUntilError writes until the connection fails.
func writeUntilError(c net.Conn) {
	for p := make([]byte, 64<<10); ; {
		if _, err := c.Write(p); err != nil {
			return
		}
	}
}

// TestResetThatAWriteReports guards against a Read that returns io.EOF although the peer has reset the
// connection: the kernel has reported the reset to a Write that has returned, or is about to.
func TestResetThatAWriteReports(t *testing.T) {
	for _, concurrent := range []bool{false, true} {
		raw, peer := connect(t)
		c := sock.ReportResets(slowWriter{raw})
		_, err := io.WriteString(peer, "part")
		assert.NilError(t, err)
		written := make(chan struct{})
		go func() {
			defer close(written)
			writeUntilError(c)
		}()
		part := make([]byte, len("part"))
		_, err = io.ReadFull(c, part)
		assert.NilError(t, err)
		time.Sleep(10 * time.Millisecond)
		assert.NilError(t, peer.SetLinger(0))
		assert.NilError(t, peer.Close())
		if !concurrent {
			<-written
		}
		time.Sleep(10 * time.Millisecond)
		_, err = io.ReadAll(c)
		assert.Check(t, err != nil, "concurrent=%t: the reset is taken for the end", concurrent)
		<-written
	}
}

// TestEndBeforeReset guards against an end of the stream that is taken for a reset, because the peer
// has ended the stream and a Write has failed or waits.
func TestEndBeforeReset(t *testing.T) {
	for _, closed := range []bool{false, true} {
		raw, peer := connect(t)
		c := sock.ReportResets(raw)
		_, err := io.WriteString(peer, "whole")
		assert.NilError(t, err)
		assert.NilError(t, peer.CloseWrite())
		written := make(chan struct{})
		go func() {
			defer close(written)
			writeUntilError(c)
		}()
		if closed {
			time.Sleep(10 * time.Millisecond)
			assert.NilError(t, peer.Close())
			<-written
		}
		text, err := io.ReadAll(c)
		assert.NilError(t, err)
		assert.Equal(t, string(text), "whole")
		assert.NilError(t, c.Close())
		<-written
	}
}

// TestPipeHasNoSocket guards against a connection without a socket that is used as one.
func TestPipeHasNoSocket(t *testing.T) {
	client, peer := net.Pipe()
	defer client.Close()
	defer peer.Close()
	_, err := sock.ReportResets(client).SyscallConn()
	assert.ErrorContains(t, err, "not a socket")
}
