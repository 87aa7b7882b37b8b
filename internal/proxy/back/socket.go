package back

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/sock"
)

// errNoSocket marks a connection that is no socket, such as a pipe in a test.
var errNoSocket = errors.New("back: not a socket")

func rawOf(c net.Conn) (syscall.RawConn, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return socket.SyscallConn()
}

// limitUnacked makes a connection that has gone silent end.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	return sock.LimitUnacked(raw, unackedTimeout)
}
