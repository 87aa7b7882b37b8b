package link

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"

	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/peer/wire"
)

const (
	helloTimeout  = 3 * time.Second
	writeTimeout  = 10 * time.Second
	streamWindow  = 512 << 10
	acceptBacklog = 1024
	// retireBeat is how often a session that was given up is looked at.
	retireBeat = time.Second
)

var (
	// ErrRefused marks a peer whose Hello does not fit: version or token.
	ErrRefused = errors.New("link: hello refused")
	// ErrClosed marks a Pool whose context has ended.
	ErrClosed = errors.New("link: closed")
)

type (
	// Handler serves one stream that a peer opened. It returns when the
	// exchange is over; the stream is closed for it.
	Handler func(ctx context.Context, peer Peer, conn *wire.Conn, first wire.Frame)

	// Dialer opens the connection below a session.
	Dialer interface {
		DialContext(ctx context.Context, network, address string) (net.Conn, error)
	}

	// Config makes a Pool.
	Config struct {
		Self   Peer
		Token  string
		Dialer Dialer
		Clock  turn.Clock
		// Started is the origin of the node's own clock readings.
		Started time.Time
		Log     hclog.Logger
	}

	// Stream is one exchange with a peer.
	Stream struct {
		*wire.Conn
		Peer    Peer
		Remote  *Remote
		raw     io.ReadWriteCloser
		session *yamux.Session
	}

	// Pool keeps one session for each peer, by the address it advertises.
	Pool struct {
		config  Config
		handler Handler
		mutex   sync.Mutex
		lines   map[string]*line
		remotes map[string]*Remote
	}

	// line is the session to one address, or the dialling of it.
	line struct {
		ready   chan struct{}
		session *yamux.Session
		peer    Peer
		err     error
	}
)

// NewPool returns a Pool that hands the streams of peers to the handler.
func NewPool(config Config, handler Handler) *Pool {
	if config.Dialer == nil {
		config.Dialer = &net.Dialer{}
	}
	if config.Log == nil {
		config.Log = hclog.NewNullLogger()
	}
	return &Pool{
		config:  config,
		handler: handler,
		lines:   map[string]*line{},
		remotes: map[string]*Remote{},
	}
}

// Reading returns the node's own monotonic clock, as peers are told it.
func (p *Pool) Reading() time.Duration {
	return p.config.Clock.Now().Sub(p.config.Started)
}

// Open opens a stream to the node at an address. The context bounds the opening
// only.
func (p *Pool) Open(ctx context.Context, address string) (*Stream, error) {
	if address == p.config.Self.Address {
		return p.loop(ctx), nil
	}
	for {
		l, dialler := p.line(address)
		if dialler {
			p.dial(ctx, address, l)
		}
		select {
		case <-l.ready:
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "link: dial %s", address)
		}
		if l.err != nil {
			return nil, l.err
		}
		stream, err := l.session.OpenStream()
		if err == nil {
			return &Stream{
				Conn:    wire.NewConn(stream),
				raw:     stream,
				Peer:    l.peer,
				Remote:  p.remote(address),
				session: l.session,
			}, nil
		}
		p.forget(address, l)
		if !errors.Is(err, yamux.ErrSessionShutdown) {
			return nil, errors.Wrapf(err, "link: open stream to %s", address)
		}
	}
}

// Close ends the exchange. The Conn is released by who has stopped to use it.
func (s *Stream) Close() error {
	return s.raw.Close()
}

// Serve takes sessions from a listener until the context ends.
func (p *Pool) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		raw, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrapf(err, "link: accept on %s", listener.Addr())
		}
		go p.welcome(ctx, raw)
	}
}

// Close ends all sessions. Streams still open are cut.
func (p *Pool) Close() {
	p.mutex.Lock()
	lines := p.lines
	p.lines = map[string]*line{}
	p.mutex.Unlock()
	for _, l := range lines {
		select {
		case <-l.ready:
			if l.session != nil {
				_ = l.session.Close()
			}
		default:
		}
	}
}

// Drop gives up the session to an address, for instance where its peer has
// fallen silent: the next stream dials anew. Streams that are open on it go on,
// since silence to one does not prove that the others are lost; the session ends
// with the last of them, or when its keep-alive fails.
func (p *Pool) Drop(address string) {
	p.mutex.Lock()
	l := p.lines[address]
	p.mutex.Unlock()
	if l == nil {
		return
	}
	select {
	case <-l.ready:
	default:
		return
	}
	p.forget(address, l)
	if l.session != nil {
		go retire(l.session)
	}
}

// retire closes a session once it has no more streams.
func retire(session *yamux.Session) {
	ticker := time.NewTicker(retireBeat)
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

// Sessions returns how many sessions are open.
func (p *Pool) Sessions() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.lines)
}

func (p *Pool) line(address string) (*line, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if l, found := p.lines[address]; found {
		select {
		case <-l.ready:
			if l.err == nil && !l.session.IsClosed() {
				return l, false
			}
		default:
			return l, false
		}
	}
	l := &line{ready: make(chan struct{})}
	p.lines[address] = l
	return l, true
}

func (p *Pool) forget(address string, l *line) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.lines[address] == l {
		delete(p.lines, address)
	}
}

func (p *Pool) remote(address string) *Remote {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	r, found := p.remotes[address]
	if !found {
		r = &Remote{}
		p.remotes[address] = r
	}
	return r
}

func (p *Pool) accept(ctx context.Context, session *yamux.Session, peer Peer) {
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		go p.serve(ctx, peer, stream)
	}
}

func (p *Pool) serve(ctx context.Context, peer Peer, stream io.ReadWriteCloser) {
	defer stream.Close()
	conn := wire.NewConn(stream)
	defer conn.Release()
	first, err := conn.Next()
	if err != nil {
		if !errors.Is(err, io.EOF) {
			p.config.Log.Warn("stream refused", "peer", peer.Address, "error", err)
		}
		return
	}
	p.handler(ctx, peer, conn, first)
}
