package back

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/sock"
)

// errNoSocket means that a connection is not a socket, such as a pipe in a test.
var errNoSocket = errors.New("back: not a socket")

// rawConn returns the socket of a connection, or errNoSocket.
func rawConn(c net.Conn) (syscall.RawConn, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return socket.SyscallConn()
}

// setUnackedTimeout is a net.Dialer.Control function. It makes the kernel close the
// connection when sent bytes stay unacknowledged for unackedTimeout.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	return sock.SetUserTimeout(raw, unackedTimeout)
}
