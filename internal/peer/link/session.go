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

// dial connects to an address in the background and then closes entry.ready. It
// continues after the context of the caller is cancelled, since other callers may
// be waiting for the same session.
func (p *Pool) dial(ctx context.Context, address string, entry *sessionEntry) {
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), helloTimeout)
		defer cancel()
		entry.session, entry.conn, entry.peer, entry.err = p.connect(ctx, address)
		if entry.err != nil {
			p.remove(address, entry)
		}
		close(entry.ready)
		if entry.err == nil && p.closed.Load() {
			_ = entry.session.Close()
		}
	}()
}

// connect dials an address, exchanges Hello messages and starts to serve the
// peer's streams.
func (p *Pool) connect(ctx context.Context, address string) (*yamux.Session, *coalescingConn, Peer, error) {
	raw, err := p.config.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, Peer{}, errors.Wrapf(err, "link: dial %s", address)
	}
	if err := sock.DetectDeadPeer(raw); err != nil {
		p.config.Log.Warn("setting TCP keep-alive and timeout failed", "peer", address, "error", err)
	}
	conn := newCoalescingConn(raw, p.ClockReading)
	session, err := yamux.Client(conn, p.yamuxConfig())
	if err != nil {
		_ = raw.Close()
		return nil, nil, Peer{}, errors.Wrapf(err, "link: open session with %s", address)
	}
	peer, err := p.sendHello(session, address)
	if err != nil {
		_ = session.Close()
		return nil, nil, Peer{}, err
	}
	go p.serveStreams(context.WithoutCancel(ctx), session, peer)
	return session, conn, peer, nil
}

// sendHello sends this node's Hello on a session that it dialed and returns the peer
// from the Hello in reply.
func (p *Pool) sendHello(session *yamux.Session, address string) (Peer, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return Peer{}, errors.Wrapf(err, "link: open hello stream to %s", address)
	}
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(helloTimeout))
	conn := wire.NewConn(stream)
	defer conn.Release()
	if err := conn.Send(wire.KindHello, p.hello()); err != nil {
		return Peer{}, errors.Wrapf(err, "link: send hello to %s", address)
	}
	hello, err := wire.Receive[wire.Hello](conn, wire.KindHello)
	if err != nil {
		return Peer{}, errors.Wrapf(err, "link: receive hello from %s", address)
	}
	peer, err := p.checkHello(hello)
	if err != nil {
		return Peer{}, errors.Wrapf(err, "link: check hello from %s", address)
	}
	p.peerClock(address).Observe(peer.Instance, time.Duration(hello.ClockNs), p.config.Clock.Now())
	return peer, nil
}

// hello returns this node's Hello with the present clock reading.
func (p *Pool) hello() *wire.Hello {
	return &wire.Hello{
		Version:       wire.Version,
		OldestVersion: wire.OldestVersion,
		Node:          string(p.config.Self.Node),
		Zone:          string(p.config.Self.Zone),
		Instance:      uint64(p.config.Self.Instance),
		Address:       p.config.Self.Address,
		ClockNs:       int64(p.ClockReading()),
		Token:         p.config.Token,
	}
}

// checkHello checks a peer's Hello and returns the peer. Its errors are ErrRefused.
func (p *Pool) checkHello(h *wire.Hello) (Peer, error) {
	if h.Version < wire.OldestVersion || h.OldestVersion > wire.Version {
		return Peer{}, errors.Wrapf(ErrRefused, "node %q speaks versions %d to %d, this node %d to %d",
			h.Node, h.OldestVersion, h.Version, wire.OldestVersion, wire.Version)
	}
	if subtle.ConstantTimeCompare([]byte(h.Token), []byte(p.config.Token)) != 1 {
		return Peer{}, errors.Wrapf(ErrRefused, "node %q has a different fleet token", h.Node)
	}
	if h.Node == "" || h.Address == "" || h.Instance == 0 {
		return Peer{}, errors.Wrapf(ErrRefused, "node %q sent an incomplete hello", h.Node)
	}
	return Peer{
		Node:     ident.Node(h.Node),
		Zone:     ident.Zone(h.Zone),
		Address:  h.Address,
		Instance: ident.Instance(h.Instance),
		Version:  h.Version,
	}, nil
}

// acceptSession exchanges Hello messages on a connection that a peer dialed and then
// serves the session until it closes.
func (p *Pool) acceptSession(ctx context.Context, raw net.Conn) {
	if p.isShutDown() {
		_ = raw.Close()
		return
	}
	if err := sock.DetectDeadPeer(raw); err != nil {
		p.config.Log.Warn("setting TCP keep-alive and timeout failed", "peer", raw.RemoteAddr().String(), "error", err)
	}
	conn := newCoalescingConn(raw, p.ClockReading)
	session, err := yamux.Server(conn, p.yamuxConfig())
	if err != nil {
		_ = raw.Close()
		return
	}
	peer, err := p.receiveHello(session)
	if err != nil {
		p.config.Log.Warn("hello exchange failed, session closed", "peer", raw.RemoteAddr().String(), "error", err)
		_ = session.Close()
		return
	}
	p.addInbound(session, conn, peer)
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	p.serveStreams(ctx, session, peer)
}

// receiveHello receives the peer's Hello on a session that the peer dialed, replies with
// this node's and returns the peer. It closes the session after helloTimeout.
func (p *Pool) receiveHello(session *yamux.Session) (Peer, error) {
	timer := time.AfterFunc(helloTimeout, func() { _ = session.Close() })
	defer timer.Stop()
	stream, err := session.AcceptStream()
	if err != nil {
		return Peer{}, errors.Wrap(err, "link: accept hello stream")
	}
	defer stream.Close()
	conn := wire.NewConn(stream)
	defer conn.Release()
	hello, err := wire.Receive[wire.Hello](conn, wire.KindHello)
	if err != nil {
		return Peer{}, errors.Wrap(err, "link: receive hello")
	}
	peer, err := p.checkHello(hello)
	if err != nil {
		return Peer{}, err
	}
	if err := conn.Send(wire.KindHello, p.hello()); err != nil {
		return Peer{}, errors.Wrapf(err, "link: send hello to %s", peer.Address)
	}
	p.peerClock(peer.Address).Observe(peer.Instance, time.Duration(hello.ClockNs), p.config.Clock.Now())
	return peer, nil
}

// addInbound adds a session that a peer dialed to the pool, so that streams to the peer
// use it too. It does nothing if the pool has a usable or pending session to that
// peer.
func (p *Pool) addInbound(session *yamux.Session, conn *coalescingConn, peer Peer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if entry, found := p.sessions[peer.Address]; found {
		select {
		case <-entry.ready:
			if entry.err == nil && !entry.session.IsClosed() {
				return
			}
		default:
			return
		}
	}
	entry := &sessionEntry{ready: make(chan struct{}), session: session, conn: conn, peer: peer}
	close(entry.ready)
	p.sessions[peer.Address] = entry
}

// yamuxConfig returns the configuration of the sessions.
func (p *Pool) yamuxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	// yamux's keep-alive would close a session from outside its receiving
	// goroutine. Until that goroutine notices, all readers of the session's
	// streams spin. TCP keep-alive ends the receiving goroutine first.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = writeTimeout
	config.MaxStreamWindowSize = streamWindow
	config.LogOutput = p.config.Log.StandardWriter(&hclog.StandardLoggerOptions{InferLevels: true})
	return config
}
