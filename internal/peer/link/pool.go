package link

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/peer/wire"
)

const (
	// helloTimeout limits the dialing of a session and the exchange of Hello messages.
	helloTimeout = 3 * time.Second
	// writeTimeout is yamux's limit for writing to the connection.
	writeTimeout = 10 * time.Second
	// streamWindow is the flow-control window of a stream, in bytes.
	streamWindow = 512 << 10
	// acceptBacklog is the number of streams that may wait to be accepted.
	acceptBacklog = 1024
	// idleCheckInterval is the interval at which a dropped session is checked for open
	// streams.
	idleCheckInterval = time.Second
	// acceptPause is the pause after a failure to accept that may pass, such as a lack
	// of file descriptors.
	acceptPause = 50 * time.Millisecond
)

var (
	// ErrRefused marks a Hello that was rejected: its protocol version is not
	// supported, its token differs or a required field is missing.
	ErrRefused = errors.New("link: hello refused")
	// ErrClosed marks use of a Pool after its context was cancelled.
	ErrClosed = errors.New("link: closed")
)

type (
	// Handler serves one stream that a peer opened, starting with the frame
	// already received. It returns when the exchange is over. The Pool then closes
	// the stream.
	Handler func(ctx context.Context, peer Peer, conn *wire.Conn, first wire.Frame)

	// Dialer opens the TCP connections that carry the sessions.
	Dialer interface {
		DialContext(ctx context.Context, network, address string) (net.Conn, error)
	}

	// Config configures a Pool.
	Config struct {
		// Self is this node as its peers see it. Open uses an in-memory pipe for
		// Self.Address.
		Self Peer
		// Token is the shared fleet token. Peers with another one are rejected.
		Token string
		// Dialer defaults to a net.Dialer.
		Dialer Dialer
		Clock  eval.Clock
		// Started is the time at which the node's own clock readings are zero.
		Started time.Time
		// Log may be nil.
		Log hclog.Logger
	}

	// Stream is one exchange with a peer.
	Stream struct {
		*wire.Conn
		Peer Peer
		// PeerClock is the lower bound of the peer's clock.
		PeerClock *PeerClock
		raw       io.ReadWriteCloser
		// session and conn are nil for a stream to the node itself.
		session *yamux.Session
		conn    *coalescingConn
		// canceled is set by Cancel.
		canceled atomic.Bool
	}

	// Pool keeps one session for each peer, keyed by the address that the peer
	// advertises. It is safe for concurrent use.
	Pool struct {
		config   Config
		handler  Handler
		closed   atomic.Bool
		mutex    sync.Mutex
		sessions map[string]*sessionEntry
		// served holds all sessions whose streams are served.
		served map[*yamux.Session]struct{}
		// shutDown is set by Shutdown.
		shutDown bool
		clocks   map[string]*PeerClock
	}

	// sessionEntry is the session to one address, or the attempt to dial it. The other
	// fields may be read once ready is closed.
	sessionEntry struct {
		ready   chan struct{}
		session *yamux.Session
		conn    *coalescingConn
		peer    Peer
		err     error
	}
)

// NewPool returns a Pool that passes each stream opened by a peer to the handler,
// in a goroutine of its own.
func NewPool(config Config, handler Handler) *Pool {
	if config.Dialer == nil {
		config.Dialer = &net.Dialer{}
	}
	if config.Log == nil {
		config.Log = hclog.NewNullLogger()
	}
	return &Pool{
		config:   config,
		handler:  handler,
		sessions: map[string]*sessionEntry{},
		served:   map[*yamux.Session]struct{}{},
		clocks:   map[string]*PeerClock{},
	}
}

// ClockReading returns the node's own monotonic clock reading, the time since
// Config.Started. It is what Hello messages carry.
func (p *Pool) ClockReading() time.Duration {
	return p.config.Clock.Now().Sub(p.config.Started)
}

// Open opens a stream to the node at an address, and dials a session if there is
// none. The context bounds only the opening, not the stream. The caller must close
// the stream and release its Conn.
func (p *Pool) Open(ctx context.Context, address string) (*Stream, error) {
	if address == p.config.Self.Address {
		return p.openLocal(ctx), nil
	}
	for {
		entry, isNew := p.findOrAdd(address)
		if isNew {
			p.dial(ctx, address, entry)
		}
		select {
		case <-entry.ready:
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "link: dial %s", address)
		}
		if entry.err != nil {
			return nil, entry.err
		}
		stream, err := entry.session.OpenStream()
		if err == nil {
			return &Stream{
				Conn:      wire.NewConn(stream),
				raw:       stream,
				Peer:      entry.peer,
				PeerClock: p.peerClock(address),
				session:   entry.session,
				conn:      entry.conn,
			}, nil
		}
		p.remove(address, entry)
		if !errors.Is(err, yamux.ErrSessionShutdown) {
			return nil, errors.Wrapf(err, "link: open stream to %s", address)
		}
	}
}

// IsUnsent reports whether the error of sending a message shows that the peer does not receive
// all of it, since the stream had ended before.
func IsUnsent(err error) bool {
	return errors.Is(err, yamux.ErrStreamClosed) || errors.Is(err, yamux.ErrConnectionReset)
}

// IsRejected reports whether the error of receiving the first message of a stream shows that the
// peer has not taken the stream: it is shutting down, or has too many.
func IsRejected(err error) bool {
	return errors.Is(err, yamux.ErrConnectionReset)
}

// Close ends the exchange. It does not release the Conn: each owner of the Conn
// releases it after its last use.
func (s *Stream) Close() error {
	return s.raw.Close()
}

// Serve accepts sessions from a listener. It returns nil after the context is
// cancelled, and an error if accepting fails for good.
func (p *Pool) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		raw, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			var code syscall.Errno
			if errors.As(err, &code) && code.Temporary() {
				p.config.Log.Warn("accepting a session failed", "listener", listener.Addr().String(), "error", err)
				time.Sleep(acceptPause)
				continue
			}
			return errors.Wrapf(err, "link: accept on %s", listener.Addr())
		}
		go p.acceptSession(ctx, raw)
	}
}

// Shutdown makes the peers open no further streams to this node, and accepts no further
// sessions. Streams that are on their way are rejected, see IsRejected. Those that are open
// continue, and this node can still open streams. It does not wait for the peers.
func (p *Pool) Shutdown() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.shutDown = true
	for session := range p.served {
		go func() { _ = session.GoAway() }()
	}
}

// isShutDown reports whether Shutdown has been called.
func (p *Pool) isShutDown() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.shutDown
}

// Close closes all sessions and thereby all open streams. A session that is still being
// dialed is closed as soon as it is open.
func (p *Pool) Close() {
	p.closed.Store(true)
	p.mutex.Lock()
	sessions := p.sessions
	p.sessions = map[string]*sessionEntry{}
	p.mutex.Unlock()
	for _, entry := range sessions {
		select {
		case <-entry.ready:
			if entry.session != nil {
				_ = entry.session.Close()
			}
		default:
		}
	}
}

// Drop stops using the session to an address, for instance because its peer no
// longer responds. The next stream dials a new session. Streams open on the old one
// continue, since no response on one stream does not prove that the others are
// lost. The old session closes with the last of them, or when TCP keep-alive ends
// its connection.
func (p *Pool) Drop(address string) {
	p.mutex.Lock()
	entry := p.sessions[address]
	p.mutex.Unlock()
	if entry == nil {
		return
	}
	select {
	case <-entry.ready:
	default:
		return
	}
	p.remove(address, entry)
	if entry.session != nil {
		go closeWhenIdle(entry.session)
	}
}

// closeWhenIdle closes a session once it has no open streams. It returns early if the
// session closes otherwise.
func closeWhenIdle(session *yamux.Session) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for session.NumStreams() > 0 {
		select {
		case <-ticker.C:
		case <-session.CloseChan():
			return
		}
	}
	_ = session.Close()
}

// Sessions returns the number of sessions, including those being dialed.
func (p *Pool) Sessions() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.sessions)
}

// findOrAdd returns the usable or pending session to an address. If there is none, it
// adds a pending one and returns true: the caller must dial it.
func (p *Pool) findOrAdd(address string) (*sessionEntry, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if entry, found := p.sessions[address]; found {
		select {
		case <-entry.ready:
			if entry.err == nil && !entry.session.IsClosed() {
				return entry, false
			}
		default:
			return entry, false
		}
	}
	entry := &sessionEntry{ready: make(chan struct{})}
	p.sessions[address] = entry
	return entry, true
}

// remove removes a session from the pool unless another one has replaced it.
func (p *Pool) remove(address string, entry *sessionEntry) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.sessions[address] == entry {
		delete(p.sessions, address)
	}
}

// peerClock returns the clock bound of the peer at an address.
func (p *Pool) peerClock(address string) *PeerClock {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	clock, found := p.clocks[address]
	if !found {
		clock = &PeerClock{}
		p.clocks[address] = clock
	}
	return clock
}

// serveStreams serves the streams that the peer opens until the session closes.
func (p *Pool) serveStreams(ctx context.Context, session *yamux.Session, peer Peer) {
	p.mutex.Lock()
	p.served[session] = struct{}{}
	shutDown := p.shutDown
	p.mutex.Unlock()
	defer func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		delete(p.served, session)
	}()
	if shutDown {
		go func() { _ = session.GoAway() }()
	}
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		go p.serveStream(ctx, peer, stream)
	}
}

// serveStream receives the first frame of a stream and passes it to the handler.
func (p *Pool) serveStream(ctx context.Context, peer Peer, stream io.ReadWriteCloser) {
	defer stream.Close()
	conn := wire.NewConn(stream)
	defer conn.Release()
	first, err := conn.Next()
	if err != nil {
		if !errors.Is(err, io.EOF) {
			p.config.Log.Warn("reading the first frame of a stream failed", "peer", peer.Address, "error", err)
		}
		return
	}
	p.handler(ctx, peer, conn, first)
}
