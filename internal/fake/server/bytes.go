package server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Bytes is a stand-in for a server of any interface that sends the same bytes to each request, and
// then closes the connection.
type Bytes struct {
	Sent string
	// Reset makes it read only the header of a request, and reset the connection after Sent.
	Reset bool
}

// Start listens on a loopback port until the context ends, and returns its address.
func (b Bytes) Start(ctx context.Context) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "server: listen")
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.serve(c)
		}
	}()
	return l.Addr().String(), nil
}

func (b Bytes) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if !b.Reset {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	_, _ = io.WriteString(c, b.Sent)
	if socket, ok := c.(*net.TCPConn); ok && b.Reset {
		_ = socket.SetLinger(0)
	}
}
