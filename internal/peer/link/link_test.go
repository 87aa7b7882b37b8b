package link_test

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/fake/check"
	"github.com/figwick/figwick/internal/peer/link"
	"github.com/figwick/figwick/internal/peer/wire"
)

// startPool returns a Pool that listens on loopback and answers every Fence, and its
// address.
func startPool(t *testing.T, token string) (*link.Pool, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	clock := clockwork.NewRealClock()
	p := link.NewPool(link.Config{
		Self: link.Peer{
			Node: ident.Node(listener.Addr().String()), Address: listener.Addr().String(), Instance: ident.NewInstance(),
		},
		Token: token, Clock: clock, Started: clock.Now(),
	}, func(_ context.Context, _ link.Peer, conn *wire.Conn, _ wire.Frame) {
		_ = conn.Send(wire.KindFenceReply, &wire.FenceReply{Fate: wire.Fate_FATE_STARTED})
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = p.Serve(ctx, listener) }()
	t.Cleanup(cancel)
	t.Cleanup(p.Close)
	return p, listener.Addr().String()
}

// sendFence sends a Fence to the node at the address and waits for the reply.
func sendFence(t *testing.T, p *link.Pool, address string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	stream, err := p.Open(ctx, address)
	if err != nil {
		return err
	}
	defer stream.Release()
	defer stream.Close()
	assert.NilError(t, stream.Send(wire.KindFence, &wire.Fence{Attempt: "a"}))
	_, err = wire.Receive[wire.FenceReply](stream.Conn, wire.KindFenceReply)
	return err
}

func TestSessions(t *testing.T) {
	a, addressA := startPool(t, "secret")
	b, addressB := startPool(t, "secret")
	assert.NilError(t, sendFence(t, a, addressB))
	assert.Equal(t, a.Sessions(), 1)
	// b reuses the session that a dialed, and a opens a stream to itself.
	assert.NilError(t, sendFence(t, b, addressA))
	assert.Equal(t, b.Sessions(), 1)
	assert.NilError(t, sendFence(t, a, addressA))
	// After Drop the next stream dials a new session.
	a.Drop(addressB)
	assert.NilError(t, sendFence(t, a, addressB))
}

func TestAnotherTokenIsRefused(t *testing.T) {
	a, _ := startPool(t, "secret")
	_, addressB := startPool(t, "other")
	assert.Check(t, sendFence(t, a, addressB) != nil)
	assert.Equal(t, a.Sessions(), 0)
}

// busyListener fails to accept at first, as a process without free file descriptors does.
type busyListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *busyListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestServeOutlastsLackOfDescriptors guards against a node that ends because it has no free
// file descriptor for a moment.
func TestServeOutlastsLackOfDescriptors(t *testing.T) {
	a, _ := startPool(t, "secret")
	b, _ := startPool(t, "secret")
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &busyListener{Listener: raw}
	l.failures.Store(3)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- b.Serve(ctx, l) }()
	assert.NilError(t, sendFence(t, a, raw.Addr().String()))
	cancel()
	assert.NilError(t, <-served)
}

// TestStampIsNeverLate checks that a stamp in the peer's clock is never after the
// intended time, for any delay between a clock reading and its arrival. A late
// stamp would let an attempt start after its deadline.
func TestStampIsNeverLate(t *testing.T) {
	check.Run(t, func(t *rapid.T) {
		d := check.NewUniformRand(t)
		now := time.Unix(1_000_000, 0)
		peerStart := now.Add(-time.Duration(d.IntN(1_000_000)) * time.Millisecond)
		var clock link.PeerClock
		for range d.Between(1, 20) {
			reading := now.Sub(peerStart)
			now = now.Add(time.Duration(d.IntN(500)) * time.Millisecond)
			clock.Observe(1, reading, now)
			now = now.Add(time.Duration(d.IntN(8000)) * time.Millisecond)
			left := time.Duration(d.IntN(5000)) * time.Millisecond
			stamp := clock.Stamp(now, left)
			intended := now.Add(left).Sub(peerStart)
			if got := time.Duration(stamp.StartBeforeNs); got > intended {
				t.Fatalf("stamp %v is after the intended time %v", got, intended)
			}
			if got := time.Duration(stamp.StartBeforeNs); intended-got > 500*time.Millisecond {
				t.Fatalf("stamp %v is %v too early", got, intended-got)
			}
		}
	})
}
