package link

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/peer/wire"
)

// Ping sends a yamux ping over the stream's session and waits for the reply. It
// returns nil at once for a stream to the node itself.
func (s *Stream) Ping(ctx context.Context) error {
	if s.session == nil {
		return nil
	}
	answered := make(chan error, 1)
	go func() {
		_, err := s.session.Ping()
		answered <- err
	}()
	select {
	case err := <-answered:
		return errors.Wrapf(err, "link: ping %s", s.Peer.Address)
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "link: ping %s", s.Peer.Address)
	}
}

// Silence returns the time since anything was received on the stream's session. It is 0 for
// a stream to the node itself.
func (s *Stream) Silence() time.Duration {
	if s.conn == nil {
		return 0
	}
	return s.conn.silence()
}

// Cancel ends the exchange and unblocks pending sends and receives. Close alone
// would leave them waiting for the peer.
func (s *Stream) Cancel() {
	s.canceled.Store(true)
	s.expire()
	go func() { _ = s.Close() }()
}

// WaitForFrame is like that of the Conn, which removes the stream's read deadline. After Cancel the
// deadline stays in the past, since the peer may never close the stream.
func (s *Stream) WaitForFrame(wait time.Duration) bool {
	received := s.Conn.WaitForFrame(wait)
	if s.canceled.Load() {
		s.expire()
	}
	return received
}

// expire makes all sends and receives fail.
func (s *Stream) expire() {
	if deadliner, ok := s.raw.(interface{ SetDeadline(t time.Time) error }); ok {
		_ = deadliner.SetDeadline(time.Unix(1, 0))
	}
}

// openLocal opens a stream to the node itself through an in-memory pipe.
func (p *Pool) openLocal(ctx context.Context) *Stream {
	near, far := net.Pipe()
	clock := p.peerClock(p.config.Self.Address)
	clock.Observe(p.config.Self.Instance, p.ClockReading(), p.config.Clock.Now())
	go p.serveStream(context.WithoutCancel(ctx), p.config.Self, far)
	return &Stream{Conn: wire.NewConn(near), raw: near, Peer: p.config.Self, PeerClock: clock}
}
