package node

import (
	"cmp"
	"context"
	"io"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/peer/link"
	"github.com/figwick/figwick/internal/peer/wire"
)

// frameOverheadBytes estimates the overhead of a message in bytes: its frame header, two
// yamux headers and a share of the TCP/IP packet headers.
const frameOverheadBytes = 5 + 2*12 + 40

// handle serves one stream from a peer. The kind of the first frame selects the
// handler.
func (n *Node) handle(ctx context.Context, peer link.Peer, conn *wire.Conn, first wire.Frame) {
	defer n.recoverStream(peer, first.Kind)
	err := n.dispatch(ctx, peer, conn, first)
	if errors.Is(err, wire.ErrFrame) {
		events.Emit(n.log, events.PeerRefused, "peer", peer.Address, "error", err)
	}
}

// recoverStream ends a stream whose handler has panicked. The requests of other streams go on.
func (n *Node) recoverStream(peer link.Peer, kind wire.Kind) {
	value := recover()
	if value == nil {
		return
	}
	n.meter.StreamPanics.Inc(1)
	events.Emit(n.log, events.StreamPanicked, "peer", peer.Address, "kind", int(kind), "cause", value, "stack", string(debug.Stack()))
	if n.config.OnPanic != nil {
		n.config.OnPanic(value)
	}
}

func (n *Node) dispatch(ctx context.Context, peer link.Peer, conn *wire.Conn, first wire.Frame) error {
	switch first.Kind {
	case wire.KindRequestHead:
		return decodeAndHandle(first, first.Kind, func(m *wire.RequestHead) error {
			n.side.HandleAttempt(ctx, conn, m)
			return nil
		})
	case wire.KindFence:
		return decodeAndHandle(first, first.Kind, func(m *wire.Fence) error {
			n.side.HandleFence(ctx, conn, m)
			return nil
		})
	case wire.KindRelay:
		return decodeAndHandle(first, first.Kind, func(m *wire.Relay) error { return n.relay(ctx, conn, m) })
	case wire.KindGossip:
		return decodeAndHandle(first, first.Kind, func(m *wire.Gossip) error {
			return n.sendReply(conn, wire.KindGossip, n.fleet.receive(m))
		})
	case wire.KindDirectory:
		return decodeAndHandle(first, first.Kind, func(m *wire.Directory) error {
			return n.sendReply(conn, wire.KindDirectoryReply, n.directory.receive(m))
		})
	case wire.KindConfigFetch:
		return decodeAndHandle(first, first.Kind, func(m *wire.ConfigFetch) error {
			if n.config.Source != nil {
				return n.sendReply(conn, wire.KindConfigReply, n.sourceFollower.receive(peer.Version))
			}
			return n.sendReply(conn, wire.KindConfigReply, n.configs.receive(m))
		})
	case wire.KindConfigProof:
		return decodeAndHandle(first, first.Kind, func(*wire.ConfigProof) error {
			return n.sendReply(conn, wire.KindConfigProofReply, n.proofs.receive())
		})
	case wire.KindDemands:
		return decodeAndHandle(first, first.Kind, func(m *wire.Demands) error {
			return n.sendReply(conn, wire.KindShares, n.allocators.receive(m))
		})
	case wire.KindQuota:
		return decodeAndHandle(first, first.Kind, func(m *wire.QuotaRequest) error {
			return n.sendReply(conn, wire.KindQuotaReply, n.quotas.receive(m))
		})
	default:
		return errors.Wrapf(wire.ErrFrame, "frame kind %d cannot open a stream", first.Kind)
	}
}

// decodeAndHandle decodes the first frame of a stream and passes the message to handle.
func decodeAndHandle[M any, P interface {
	*M
	proto.Message
}](f wire.Frame, kind wire.Kind, handle func(m P) error) error {
	m, err := wire.Decode[M, P](f, kind)
	if err != nil {
		return err
	}
	return handle(m)
}

// sendReply sends the reply on a control stream and counts its bytes.
func (n *Node) sendReply(conn *wire.Conn, kind wire.Kind, m proto.Message) error {
	n.meter.ControlBytes.Inc(int64(proto.Size(m) + frameOverheadBytes))
	return conn.Send(kind, m)
}

// call sends a message to a node on a new stream and returns the reply. It returns
// early when the context ends.
func call[M any, P interface {
	*M
	proto.Message
}](ctx context.Context, n *Node, address string, kind wire.Kind, m proto.Message, reply wire.Kind) (P, error) {
	stream, err := n.links.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	defer stream.Release()
	defer stream.Close()
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	n.meter.ControlBytes.Inc(int64(proto.Size(m) + frameOverheadBytes))
	if err := stream.Send(kind, m); err != nil {
		return nil, errors.Wrapf(err, "node: send to %s", address)
	}
	received, err := wire.Receive[M, P](stream.Conn, reply)
	return received, errors.Wrapf(err, "node: receive reply from %s", address)
}

// relay forwards the rest of a stream to another node, for a peer that cannot reach
// that node directly. It copies both ways and returns when the node has closed its
// side.
func (n *Node) relay(ctx context.Context, conn *wire.Conn, m *wire.Relay) error {
	n.relayed.Add(1)
	defer n.relayed.Add(-1)
	opening, done := context.WithTimeout(ctx, cmp.Or(n.config.PathTimeouts.Open, exchangeTimeout))
	defer done()
	target, err := n.links.Open(opening, m.Address)
	if err != nil {
		return err
	}
	defer target.Release()
	defer target.Close()
	conn.Retain()
	target.Retain()
	go func() {
		defer conn.Release()
		defer target.Release()
		_, _ = io.Copy(target.Stream(), conn.Reader())
		_ = target.Close()
	}()
	_, err = io.Copy(conn.Stream(), target.Reader())
	return errors.Wrapf(err, "node: relay to %s", m.Address)
}
