package link

import (
	"context"
	"crypto/subtle"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/peer/wire"
)

const (
	helloTimeout      = 3 * time.Second
	keepAliveInterval = 10 * time.Second
	writeTimeout      = 10 * time.Second
	streamWindow      = 512 << 10
	acceptBacklog     = 1024
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

// Ping asks the peer for a sign of life over the stream's session.
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

// Cancel ends the exchange and wakes whoever receives from it or sends to it.
// Closing alone would leave them waiting for the peer.
func (s *Stream) Cancel() {
	if limited, ok := s.raw.(interface{ SetDeadline(t time.Time) error }); ok {
		_ = limited.SetDeadline(time.Unix(1, 0))
	}
	go func() { _ = s.Close() }()
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

// Drop ends the session to an address, for instance where its peer has fallen
// silent. The next stream dials anew.
func (p *Pool) Drop(address string) {
	p.mutex.Lock()
	l := p.lines[address]
	p.mutex.Unlock()
	if l == nil {
		return
	}
	select {
	case <-l.ready:
		p.forget(address, l)
		if l.session != nil {
			_ = l.session.Close()
		}
	default:
	}
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

// dial fills a line. The dialling outlives the caller that caused it, since
// others may wait for the same session.
func (p *Pool) dial(ctx context.Context, address string, l *line) {
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), helloTimeout)
		defer cancel()
		l.session, l.peer, l.err = p.connect(ctx, address)
		if l.err != nil {
			p.forget(address, l)
		}
		close(l.ready)
	}()
}

func (p *Pool) connect(ctx context.Context, address string) (*yamux.Session, Peer, error) {
	raw, err := p.config.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, Peer{}, errors.Wrapf(err, "link: dial %s", address)
	}
	session, err := yamux.Client(&joined{Conn: raw}, p.yamux())
	if err != nil {
		_ = raw.Close()
		return nil, Peer{}, errors.Wrapf(err, "link: session with %s", address)
	}
	peer, err := p.greet(session, address)
	if err != nil {
		_ = session.Close()
		return nil, Peer{}, err
	}
	go p.accept(context.WithoutCancel(ctx), session, peer)
	return session, peer, nil
}

func (p *Pool) greet(session *yamux.Session, address string) (Peer, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return Peer{}, errors.Wrapf(err, "link: greet %s", address)
	}
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(helloTimeout))
	conn := wire.NewConn(stream)
	defer conn.Release()
	if err := conn.Send(wire.KindHello, p.hello()); err != nil {
		return Peer{}, errors.Wrapf(err, "link: greet %s", address)
	}
	hello, err := wire.Receive[wire.Hello](conn, wire.KindHello)
	if err != nil {
		return Peer{}, errors.Wrapf(err, "link: greeting from %s", address)
	}
	peer, err := p.admit(hello)
	if err != nil {
		return Peer{}, errors.Wrapf(err, "link: greeting from %s", address)
	}
	p.remote(address).Observe(peer.Instance, time.Duration(hello.ClockNs), p.config.Clock.Now())
	return peer, nil
}

func (p *Pool) hello() *wire.Hello {
	return &wire.Hello{
		Version:       wire.Version,
		OldestVersion: wire.OldestVersion,
		Node:          string(p.config.Self.Node),
		Zone:          string(p.config.Self.Zone),
		Instance:      uint64(p.config.Self.Instance),
		Address:       p.config.Self.Address,
		ClockNs:       int64(p.Reading()),
		Token:         p.config.Token,
	}
}

func (p *Pool) admit(h *wire.Hello) (Peer, error) {
	if h.Version < wire.OldestVersion || h.OldestVersion > wire.Version {
		return Peer{}, errors.Wrapf(ErrRefused, "node %q speaks versions %d to %d, this node %d to %d",
			h.Node, h.OldestVersion, h.Version, wire.OldestVersion, wire.Version)
	}
	if subtle.ConstantTimeCompare([]byte(h.Token), []byte(p.config.Token)) != 1 {
		return Peer{}, errors.Wrapf(ErrRefused, "node %q has another fleet token", h.Node)
	}
	if h.Node == "" || h.Address == "" || h.Instance == 0 {
		return Peer{}, errors.Wrapf(ErrRefused, "node %q sent an incomplete hello", h.Node)
	}
	return Peer{
		Node:     ident.Node(h.Node),
		Zone:     ident.Zone(h.Zone),
		Address:  h.Address,
		Instance: ident.Instance(h.Instance),
	}, nil
}

// welcome answers the Hello of a session that a peer dialled.
func (p *Pool) welcome(ctx context.Context, raw net.Conn) {
	session, err := yamux.Server(&joined{Conn: raw}, p.yamux())
	if err != nil {
		_ = raw.Close()
		return
	}
	peer, err := p.meet(session)
	if err != nil {
		p.config.Log.Warn("session refused", "peer", raw.RemoteAddr().String(), "error", err)
		_ = session.Close()
		return
	}
	p.adopt(session, peer)
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	p.accept(ctx, session, peer)
}

func (p *Pool) meet(session *yamux.Session) (Peer, error) {
	timer := time.AfterFunc(helloTimeout, func() { _ = session.Close() })
	defer timer.Stop()
	stream, err := session.AcceptStream()
	if err != nil {
		return Peer{}, errors.Wrap(err, "link: await hello")
	}
	defer stream.Close()
	conn := wire.NewConn(stream)
	defer conn.Release()
	hello, err := wire.Receive[wire.Hello](conn, wire.KindHello)
	if err != nil {
		return Peer{}, errors.Wrap(err, "link: await hello")
	}
	peer, err := p.admit(hello)
	if err != nil {
		return Peer{}, err
	}
	if err := conn.Send(wire.KindHello, p.hello()); err != nil {
		return Peer{}, errors.Wrapf(err, "link: greet %s", peer.Address)
	}
	p.remote(peer.Address).Observe(peer.Instance, time.Duration(hello.ClockNs), p.config.Clock.Now())
	return peer, nil
}

// adopt uses a session that a peer dialled for streams to that peer, unless
// there is one already.
func (p *Pool) adopt(session *yamux.Session, peer Peer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if l, found := p.lines[peer.Address]; found {
		select {
		case <-l.ready:
			if l.err == nil && !l.session.IsClosed() {
				return
			}
		default:
			return
		}
	}
	l := &line{ready: make(chan struct{}), session: session, peer: peer}
	close(l.ready)
	p.lines[peer.Address] = l
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

// loop opens a stream to the node itself.
func (p *Pool) loop(ctx context.Context) *Stream {
	near, far := net.Pipe()
	r := p.remote(p.config.Self.Address)
	r.Observe(p.config.Self.Instance, p.Reading(), p.config.Clock.Now())
	go p.serve(context.WithoutCancel(ctx), p.config.Self, far)
	return &Stream{Conn: wire.NewConn(near), raw: near, Peer: p.config.Self, Remote: r}
}

func (p *Pool) yamux() *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = writeTimeout
	config.MaxStreamWindowSize = streamWindow
	config.LogOutput = p.config.Log.StandardWriter(&hclog.StandardLoggerOptions{InferLevels: true})
	return config
}
