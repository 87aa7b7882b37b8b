package back

import (
	"syscall"

	"github.com/figwick/figwick/internal/base/sock"
)

// setUnackedTimeout is a net.Dialer.Control function. It makes the kernel close the
// connection when sent bytes stay unacknowledged for unackedTimeout.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	return sock.SetUserTimeout(raw, unackedTimeout)
}
