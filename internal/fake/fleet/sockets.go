package fleet

import (
	"net"
	"sync"
	"syscall"
)

// sockets are the listeners and accepted connections of one node, so that a
// killed node's can be cut together.
type sockets struct {
	mutex sync.Mutex
	open  map[interface{ Close() error }]struct{}
	isCut bool
}

type (
	listener struct {
		net.Listener
		sockets *sockets
	}

	conn struct {
		net.Conn
		sockets *sockets
	}
)

func (s *sockets) wrap(l net.Listener) net.Listener {
	s.add(l)
	return &listener{Listener: l, sockets: s}
}

func (s *sockets) add(c interface{ Close() error }) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isCut {
		closeRaw(c)
		return
	}
	if s.open == nil {
		s.open = map[interface{ Close() error }]struct{}{}
	}
	s.open[c] = struct{}{}
}

func (s *sockets) cut() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isCut = true
	for c := range s.open {
		closeRaw(c)
	}
}

// closeRaw closes what is below a conn, whose own Close takes the mutex.
func closeRaw(c interface{ Close() error }) {
	if wrapped, ok := c.(*conn); ok {
		c = wrapped.Conn
	}
	_ = c.Close()
}

// Accept returns a connection that is cut with the others.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, sockets: l.sockets}
	l.sockets.add(c)
	return c, nil
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.sockets.mutex.Lock()
	delete(c.sockets.open, c)
	c.sockets.mutex.Unlock()
	return c.Conn.Close()
}

// SyscallConn gives access to the socket.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	return socket.SyscallConn()
}

// CloseWrite ends the sending side only, as net/http does to let a caller read
// an answer whose request it did not take whole.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return net.ErrClosed
	}
	return half.CloseWrite()
}

// SetLinger sets what Close does with data that has not been sent.
func (c *conn) SetLinger(seconds int) error {
	socket, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return net.ErrClosed
	}
	return socket.SetLinger(seconds)
}
