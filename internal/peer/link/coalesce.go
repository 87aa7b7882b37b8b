package link

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// The layout of a yamux frame header, in bytes, and the type of data frames.
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
	buffer []byte
	// headerHeld is set while buffer holds a data header without its payload.
	headerHeld bool
	once       sync.Once
	// sessionClosed is closed when the session calls Close.
	sessionClosed chan struct{}
	// reading returns the node's clock reading. heardAt is that of the last data received.
	reading func() time.Duration
	heardAt atomic.Int64
}

func newCoalescingConn(raw net.Conn, reading func() time.Duration) *coalescingConn {
	c := &coalescingConn{Conn: raw, sessionClosed: make(chan struct{}), reading: reading}
	c.heardAt.Store(int64(reading()))
	return c
}

// Read reads from the connection.
func (c *coalescingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heardAt.Store(int64(c.reading()))
	}
	return n, err
}

// silence returns the time since data was last received.
func (c *coalescingConn) silence() time.Duration {
	return c.reading() - time.Duration(c.heardAt.Load())
}

// Write buffers a data header until its payload is written. A failed write closes
// the connection, which ends the receiving goroutine, and returns only after the
// session has called Close.
func (c *coalescingConn) Write(p []byte) (int, error) {
	if c.headerHeld {
		c.headerHeld = false
		c.buffer = append(c.buffer, p...)
		if err := c.send(c.buffer); err != nil {
			return 0, err
		}
		return len(p), nil
	}
	if len(p) == headerBytes && p[typeOffset] == typeData && binary.BigEndian.Uint32(p[lengthOffset:]) > 0 {
		c.buffer = append(c.buffer[:0], p...)
		c.headerHeld = true
		return len(p), nil
	}
	if err := c.send(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// send writes to the connection. After an error it closes the connection and
// blocks until the session has called Close.
func (c *coalescingConn) send(p []byte) error {
	_, err := c.Conn.Write(p)
	if err == nil {
		return nil
	}
	_ = c.Conn.Close()
	<-c.sessionClosed
	return err
}

// Close unblocks a failed Write and closes the connection in the background. It
// does not wait for reads and writes in progress. It may be called repeatedly.
func (c *coalescingConn) Close() error {
	c.once.Do(func() {
		close(c.sessionClosed)
		go func() { _ = c.Conn.Close() }()
	})
	return nil
}
