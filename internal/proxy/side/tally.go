package side

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

type (
	// countingConn counts the bytes written to a backend server.
	countingConn struct {
		net.Conn
		written atomic.Int64
	}

	// tally tells whether an attempt has written anything on any connection it
	// was given. One that has not was not run, whatever error it met.
	tally struct {
		mutex sync.Mutex
		conns []*countingConn
		marks []int64
		other bool
	}
)

// Write counts what the connection took.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

func counting(
	dial func(ctx context.Context, network, address string) (net.Conn, error),
) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
}

func (t *tally) use(conn net.Conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	c, counted := conn.(*countingConn)
	if !counted {
		t.other = true
		return
	}
	t.conns = append(t.conns, c)
	t.marks = append(t.marks, c.written.Load())
}

func (t *tally) any() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for i, c := range t.conns {
		if c.written.Load() > t.marks[i] {
			return true
		}
	}
	return t.other
}
