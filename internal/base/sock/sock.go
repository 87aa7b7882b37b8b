// Package sock tells how a TCP connection ends: it sets the options that close one whose peer no longer
// responds, and tells a reset from the end of a stream (ReportResets).
//
// A path that drops packets and a peer that lost power cause no error by themselves:
// packets merely stop arriving. Keep-alive probes detect this on an idle connection,
// and TCP_USER_TIMEOUT detects it while sent bytes are unacknowledged.
package sock

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// probeInterval is the interval between keep-alive probes of an idle connection.
	probeInterval = time.Second
	// maxProbes is the number of unanswered probes after which a connection is
	// closed.
	maxProbes = 2
	// unackedTimeout limits how long sent bytes may stay unacknowledged.
	unackedTimeout = 2 * time.Second
	// connectTimeout limits how long dialing may take.
	connectTimeout = time.Second
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: maxProbes}

// Dialer dials connections that are closed when the peer no longer responds. The
// zero value is ready to use.
type Dialer struct{}

// DialContext dials an address, like net.Dialer.DialContext.
func (*Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: keepAlive,
		Control:         func(_, _ string, raw syscall.RawConn) error { return SetUserTimeout(raw, unackedTimeout) },
	}
	return d.DialContext(ctx, network, address)
}

// DetectDeadPeer sets the same options on a connection that was accepted or dialed elsewhere.
// It does nothing to a connection that is not a *net.TCPConn.
func DetectDeadPeer(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	err := tcp.SetKeepAliveConfig(keepAlive)
	raw, rawErr := tcp.SyscallConn()
	if rawErr != nil {
		return errors.CombineErrors(err, rawErr)
	}
	return errors.CombineErrors(err, SetUserTimeout(raw, unackedTimeout))
}

// SetUserTimeout limits how long sent bytes may stay unacknowledged before the
// connection fails. It sets TCP_USER_TIMEOUT, whose unit is a millisecond.
func SetUserTimeout(raw syscall.RawConn, limit time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	return errors.CombineErrors(err, setErr)
}
