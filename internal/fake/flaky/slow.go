package flaky

import (
	"net"
	"time"
)

// slowChunk is the largest number of bytes that a slow connection passes on at once.
const slowChunk = 4 << 10

type (
	// slowListener accepts connections with a limited bandwidth.
	slowListener struct {
		net.Listener
		bitsPerSecond float64
	}

	// slowConn is a connection whose accepting side sends slowly.
	slowConn struct {
		net.Conn
		bitsPerSecond float64
	}
)

// SlowListener returns a listener whose connections send at most a number of bits per
// second. What they receive is not slowed down.
func SlowListener(l net.Listener, bitsPerSecond float64) net.Listener {
	return &slowListener{l, bitsPerSecond}
}

// Accept accepts a connection.
func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{c, l.bitsPerSecond}, nil
}

// Write sends p in chunks and sleeps as long as the link takes for each.
func (c *slowConn) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		chunk := p[sent:min(len(p), sent+slowChunk)]
		time.Sleep(time.Duration(float64(8*len(chunk)) / c.bitsPerSecond * float64(time.Second)))
		n, err := c.Conn.Write(chunk)
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}
