package back_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

const (
	resetRounds = 50
	// uploadBytes is more than the buffers of both sockets hold, so that an upload that the
	// server does not read is blocked.
	uploadBytes = 16 << 20
	// movingBytes is how much of an upload the server reads before it responds, if any.
	movingBytes = 256 << 10
)

// letters is a reader of the letter a without end.
type letters struct{}

func (letters) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'a'
	}
	return len(p), nil
}

// reset closes a connection so that the peer gets a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// awaitDelivery waits until the peer's kernel has everything that was sent, the end included.
func awaitDelivery(t *testing.T, c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	for left := 1; left > 0; {
		assert.NilError(t, raw.Control(func(fd uintptr) { left, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }))
		assert.NilError(t, err)
	}
}

// readHead reads the header of a request and leaves its body.
func (c *serverConn) readHead() bool {
	_, err := http.ReadRequest(c.reader)
	return err == nil
}

// TestResetIsNoEnd guards against a part of a response without a length that is taken for the whole,
// because the backend server has reset the connection while the upload was being written. The
// kernel reports a reset once, to the Write or to the Read.
func TestResetIsNoEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n\r\n"
	for _, c := range []struct {
		name, sent string
		// read is how much of the upload the server reads first.
		read  int64
		pause time.Duration
	}{
		{"within the head, upload blocked", head[:20], 0, 0},
		{"within the head, upload moving", head[:20], movingBytes, 0},
		{"behind an informational head, upload blocked", "HTTP/1.1 103 Early Hints\r\n\r\n", 0, 0},
		{"after the head, upload blocked", head, 0, 0},
		{"within the body, upload blocked", head + "part", 0, 0},
		{"within the body, upload moving", head + "part", movingBytes, 0},
		{"long after the head, upload moving", head, movingBytes, time.Millisecond},
		{"long after a part, upload blocked", head + strings.Repeat("part", 1000), 0, time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := serve(t, func(s *serverConn) {
				if !s.readHead() {
					return
				}
				_, _ = io.CopyN(io.Discard, s.reader, c.read)
				_, _ = io.WriteString(s, c.sent)
				time.Sleep(c.pause)
				reset(s.Conn)
			})
			for round := range resetRounds {
				text, err := f.roundTrip(t.Context(), "1", io.LimitReader(letters{}, uploadBytes))
				assert.Assert(t, err != nil, "round %d: %d bytes are taken for the whole", round, len(text))
			}
		})
	}
}

// TestClosedResponseIsWhole guards against a whole response without a length that is taken for a part, because
// the backend server reads none of the upload any more. It has ended the response in order, and what arrives
// afterwards resets the connection.
func TestClosedResponseIsWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n\r\n"
	whole := strings.Repeat("whole", 2_000)
	for name, finish := range map[string]func(s *serverConn){
		"reads on": func(s *serverConn) { _, _ = io.Copy(io.Discard, s.reader) },
		"waits":    func(*serverConn) { time.Sleep(5 * time.Millisecond) },
		"resets": func(s *serverConn) {
			awaitDelivery(t, s.Conn)
			reset(s.Conn)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := serve(t, func(s *serverConn) {
				if !s.readHead() {
					return
				}
				_, _ = io.WriteString(s, head+whole)
				_ = s.Conn.(*net.TCPConn).CloseWrite()
				finish(s)
			})
			for round := range resetRounds {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				text, err := f.roundTrip(ctx, "1", io.LimitReader(letters{}, uploadBytes))
				cancel()
				assert.NilError(t, err, "round %d", round)
				assert.Equal(t, len(text), len(whole), fmt.Sprintf("round %d", round))
			}
		})
	}
}
