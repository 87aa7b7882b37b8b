// Package sock sets the socket options that make a connection which has gone
// silent end by itself.
//
// Both a path that swallows packets and a peer without power show only as
// silence. Keep-alive probes end an idle connection, the bound of
// unacknowledged bytes a busy one.
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
	// probeEvery is the time between keep-alive probes of an idle connection.
	probeEvery = time.Second
	// mostProbes is how many may go unanswered.
	mostProbes = 2
	// unackedTimeout bounds how long sent bytes may stay unacknowledged.
	unackedTimeout = 2 * time.Second
	// connectTimeout bounds the dialling.
	connectTimeout = time.Second
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: mostProbes}

// Dialer dials connections that end by themselves where they fall silent. The
// zero value is ready.
type Dialer struct{}

// DialContext dials an address.
func (*Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: keepAlive,
		Control:         func(_, _ string, raw syscall.RawConn) error { return LimitUnacked(raw, unackedTimeout) },
	}
	return d.DialContext(ctx, network, address)
}

// Watch makes a connection that was accepted or dialled elsewhere end by itself
// where it falls silent. What is no TCP connection stays as it is.
func Watch(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	err := tcp.SetKeepAliveConfig(keepAlive)
	raw, rawErr := tcp.SyscallConn()
	if rawErr != nil {
		return errors.CombineErrors(err, rawErr)
	}
	return errors.CombineErrors(err, LimitUnacked(raw, unackedTimeout))
}

// LimitUnacked bounds how long bytes that were sent may stay unacknowledged.
func LimitUnacked(raw syscall.RawConn, limit time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}
