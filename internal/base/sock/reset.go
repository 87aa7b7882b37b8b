package sock

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// errNoSocket means that a connection is not a socket, such as a pipe in a test.
var errNoSocket = errors.New("sock: not a socket")

type (
	// Conn is a connection with access to its socket.
	Conn interface {
		net.Conn
		syscall.Conn
	}

	// resetReporter is a connection from ReportResets.
	resetReporter struct {
		net.Conn
		// writing is held during a Write and guards writeErr, the first error of a Write.
		writing  sync.Mutex
		writeErr error
	}
)

// ReportResets returns a client's connection on which Read returns io.EOF only if the peer has
// ended the stream in order.
//
// The kernel reports a lost connection once. If a Write gets the report, a Read returns io.EOF
// afterwards, and what was received until then looks like the whole. A Write that waits when the
// peer has ended the stream is interrupted, since only its result tells the two apart.
func ReportResets(c net.Conn) Conn {
	return &resetReporter{Conn: c}
}

// Write implements net.Conn.
func (r *resetReporter) Write(p []byte) (int, error) {
	r.writing.Lock()
	defer r.writing.Unlock()
	n, err := r.Conn.Write(p)
	if r.writeErr == nil {
		r.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (r *resetReporter) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if lost := r.lostInWrite(); lost != nil {
		return n, errors.Wrap(lost, "sock: connection lost")
	}
	return n, err
}

// lostInWrite returns the error of a Write that has got the kernel's report of a lost connection,
// or nil. It is EPIPE if the peer had ended the stream before.
func (r *resetReporter) lostInWrite() error {
	if !r.writing.TryLock() {
		_ = r.SetWriteDeadline(time.Unix(1, 0))
		r.writing.Lock()
	}
	defer r.writing.Unlock()
	var errno syscall.Errno
	if !errors.As(r.writeErr, &errno) || errno == unix.EPIPE {
		return nil
	}
	return r.writeErr
}

// SyscallConn implements syscall.Conn. It fails if the connection is not a socket.
func (r *resetReporter) SyscallConn() (syscall.RawConn, error) {
	socket, ok := r.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return socket.SyscallConn()
}
