package link

import (
	"encoding/binary"
	"net"
	"sync"
)

const (
	headerBytes      = 12
	typeAt           = 1
	lengthAt         = 8
	typeData    byte = 0
)

// joined sends a yamux data header together with the payload that follows it,
// in one system call. yamux writes the two one after the other from one
// goroutine.
//
// It also sees to it that a session whose connection fails is closed by its
// receiving goroutine. Until that one has ended, readers of the session's streams
// spin, and a Close from elsewhere would wait for it while they do.
type joined struct {
	net.Conn
	buffer []byte
	held   bool
	once   sync.Once
	closed chan struct{}
}

func newJoined(raw net.Conn) *joined {
	return &joined{Conn: raw, closed: make(chan struct{})}
}

// Write holds a data header back until its payload comes. A write that fails
// ends the reading and returns once the session is closed.
func (j *joined) Write(p []byte) (int, error) {
	if j.held {
		j.held = false
		j.buffer = append(j.buffer, p...)
		if err := j.send(j.buffer); err != nil {
			return 0, err
		}
		return len(p), nil
	}
	if len(p) == headerBytes && p[typeAt] == typeData && binary.BigEndian.Uint32(p[lengthAt:]) > 0 {
		j.buffer = append(j.buffer[:0], p...)
		j.held = true
		return len(p), nil
	}
	if err := j.send(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (j *joined) send(p []byte) error {
	_, err := j.Conn.Write(p)
	if err == nil {
		return nil
	}
	_ = j.Conn.Close()
	<-j.closed
	return err
}

// Close lets a failed Write go on. It does not wait for reads and writes that are
// under way.
func (j *joined) Close() error {
	j.once.Do(func() {
		close(j.closed)
		go func() { _ = j.Conn.Close() }()
	})
	return nil
}
