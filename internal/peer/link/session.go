package link

import (
	"context"
	"crypto/subtle"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/sock"
	"github.com/figwick/figwick/internal/peer/wire"
)

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
	if err := sock.Watch(raw); err != nil {
		p.config.Log.Warn("connection is not watched", "peer", address, "error", err)
	}
	session, err := yamux.Client(newJoined(raw), p.yamux())
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
	if err := sock.Watch(raw); err != nil {
		p.config.Log.Warn("connection is not watched", "peer", raw.RemoteAddr().String(), "error", err)
	}
	session, err := yamux.Server(newJoined(raw), p.yamux())
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

func (p *Pool) yamux() *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	// A session that ends by its keep-alive closes from outside its receiving
	// goroutine, and until that one has noticed, all readers of its streams
	// spin. TCP's own keep-alive ends the receiving goroutine first.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = writeTimeout
	config.MaxStreamWindowSize = streamWindow
	config.LogOutput = p.config.Log.StandardWriter(&hclog.StandardLoggerOptions{InferLevels: true})
	return config
}
