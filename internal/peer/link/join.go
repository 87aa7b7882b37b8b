package link

import (
	"encoding/binary"
	"net"
	"sync"
)

const (
	headerBytes       = 12
	typeOffset        = 1
	lengthOffset      = 8
	typeData     byte = 0
)

// coalescingConn wraps a session's connection. It sends a yamux data header and the
// payload that follows in one system call. yamux writes the two separately, one
// directly after the other and from the same goroutine.
//
// It also makes the session's receiving goroutine close the session after a
// failed write. Until that goroutine has ended, readers of the session's streams
// spin, and a Close from another goroutine would wait for it during that time.
type coalescingConn struct {
	net.Conn
	buffer        []byte
	headerHeld    bool
	once          sync.Once
	sessionClosed chan struct{}
}

func newCoalescingConn(raw net.Conn) *coalescingConn {
	return &coalescingConn{Conn: raw, sessionClosed: make(chan struct{})}
}

// Write buffers a data header until its payload is written. A failed write closes
// the connection, which ends the receiving goroutine, and returns only after the
// session has called Close.
func (j *coalescingConn) Write(p []byte) (int, error) {
	if j.headerHeld {
		j.headerHeld = false
		j.buffer = append(j.buffer, p...)
		if err := j.send(j.buffer); err != nil {
			return 0, err
		}
		return len(p), nil
	}
	if len(p) == headerBytes && p[typeOffset] == typeData && binary.BigEndian.Uint32(p[lengthOffset:]) > 0 {
		j.buffer = append(j.buffer[:0], p...)
		j.headerHeld = true
		return len(p), nil
	}
	if err := j.send(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// send writes to the connection. After an error it closes the connection and
// blocks until the session has called Close.
func (j *coalescingConn) send(p []byte) error {
	_, err := j.Conn.Write(p)
	if err == nil {
		return nil
	}
	_ = j.Conn.Close()
	<-j.sessionClosed
	return err
}

// Close unblocks a failed Write and closes the connection in the background. It
// does not wait for reads and writes in progress. It may be called repeatedly.
func (j *coalescingConn) Close() error {
	j.once.Do(func() {
		close(j.sessionClosed)
		go func() { _ = j.Conn.Close() }()
	})
	return nil
}
