package conns

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// lingerTime is how long a client may send nothing before a connection whose
	// response it has received is closed.
	lingerTime = 500 * time.Millisecond
	// maxLingerTime bounds the wait for a client that does not close the connection.
	maxLingerTime = 30 * time.Second
	discardBytes  = 4 << 10
)

// linger discards what the client still sends, until it closes the connection. TCP
// resets a connection that is closed with unread data, and then drops the part of the
// response that has not been sent.
func (c *conn) linger() {
	defer func() { _ = c.closeFully() }()
	var discarded [discardBytes]byte
	for end := time.Now().Add(maxLingerTime); time.Now().Before(end); {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		_, err := c.Conn.Read(discarded[:])
		var timeout net.Error
		switch {
		case err == nil:
		case !errors.As(err, &timeout) || !timeout.Timeout(), unsentBytes(c.Conn) == 0:
			return
		}
	}
}

// unsentBytes returns how much of what was written the peer has not acknowledged. It is
// 0 for a connection that is not a socket.
func unsentBytes(c net.Conn) int {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err != nil {
		return 0
	}
	return n
}
