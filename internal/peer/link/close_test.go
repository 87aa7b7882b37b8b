package link_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/link"
	"github.com/figwick/figwick/internal/peer/wire"
)

// heldDialer dials once it is released, and tells when the connection is closed.
type heldDialer struct {
	dialing, release, closed chan struct{}
}

type watchedConn struct {
	net.Conn
	close func()
}

func (d *heldDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	close(d.dialing)
	<-d.release
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, network, address)
	return &watchedConn{Conn: c, close: sync.OnceFunc(func() { close(d.closed) })}, err
}

func (c *watchedConn) Close() error {
	c.close()
	return c.Conn.Close()
}

// TestCloseEndsPendingDial guards against a session that outlives its closed Pool, since it
// was being dialed: the peer would go on sending streams to a node that has stopped.
func TestCloseEndsPendingDial(t *testing.T) {
	_, address := startPool(t, "secret")
	d := &heldDialer{dialing: make(chan struct{}), release: make(chan struct{}), closed: make(chan struct{})}
	clock := clockwork.NewRealClock()
	p := link.NewPool(link.Config{
		Self:  link.Peer{Node: "node-1", Address: "127.0.0.1:1", Instance: ident.NewInstance()},
		Token: "secret", Dialer: d, Clock: clock, Started: clock.Now(),
	}, func(context.Context, link.Peer, *wire.Conn, wire.Frame) {})
	ctx, cancel := context.WithCancel(t.Context())
	opened := make(chan error, 1)
	go func() {
		_, err := p.Open(ctx, address)
		opened <- err
	}()
	<-d.dialing
	cancel()
	assert.ErrorIs(t, <-opened, context.Canceled)
	p.Close()
	close(d.release)
	select {
	case <-d.closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the session is still open")
	}
}
