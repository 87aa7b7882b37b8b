package front

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/peer/link"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/retry"
	"github.com/figwick/figwick/internal/policy/route"
)

const (
	// fenceTimeout bounds one question for an attempt's fate, beyond the time
	// that a running attempt may still take.
	fenceTimeout = 1500 * time.Millisecond
	// fenceTries is how many ways are tried: the direct one, then relays.
	fenceTries = 3
)

// settle finds out what became of an attempt whose answer is lost: directly,
// then through other nodes.
func (a *attempt) settle(ctx context.Context, lost result) result {
	ctx = context.WithoutCancel(ctx)
	for try := range fenceTries {
		a.x.server.config.Meter.Fences.Inc(1)
		reply, err := a.fence(ctx, try > 0)
		if err != nil {
			continue
		}
		switch reply.Fate {
		case wire.Fate_FATE_NOT_STARTED:
			lost.outcome = retry.Unreached
			return lost
		case wire.Fate_FATE_ANSWERED:
			return a.recovered(reply)
		default:
			return lost
		}
	}
	return lost
}

// recovered passes on an answer that a fence has brought.
func (a *attempt) recovered(reply *wire.FenceReply) result {
	a.x.server.config.Meter.Recovered.Inc(1)
	events.Emit(a.x.server.config.Log, events.AnswerRecovered,
		"service", string(a.x.match.Entry.Name), "peer", a.sidecar.Address)
	r := a.x.begin(reply.Head)
	r.held = reply.Body
	if err := r.finish(reply.Trailers); err != nil {
		a.x.cut(a, err)
	}
	return result{answered: true}
}

func (a *attempt) fence(ctx context.Context, around bool) (*wire.FenceReply, error) {
	wait := max(0, a.x.deadline.Sub(a.x.now()))
	ctx, cancel := context.WithTimeout(ctx, wait+fenceTimeout)
	defer cancel()
	stream, err := a.way(ctx, around)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	ask := &wire.Fence{Attempt: string(a.id), Stamp: a.stamp, WaitMs: wait.Milliseconds()}
	if err := stream.Send(wire.KindFence, ask); err != nil {
		return nil, errors.Wrapf(err, "front: fence at %s", a.sidecar.Address)
	}
	reply, err := wire.Receive[wire.FenceReply](stream.Conn, wire.KindFenceReply)
	return reply, errors.Wrapf(err, "front: fence at %s", a.sidecar.Address)
}

// way opens a stream to the sidecar, directly or around the direct path.
func (a *attempt) way(ctx context.Context, around bool) (*link.Stream, error) {
	opening, done := context.WithTimeout(ctx, openTimeout)
	defer done()
	if !around {
		return a.open(opening)
	}
	relay, found := route.Sidecar{}, false
	a.x.server.with(a.x.match.Entry.Name, func(t turn.Turn, l *lane) {
		relay, found = l.picker.Relay(t, a.sidecar.Address)
	})
	if !found {
		return nil, errors.Newf("front: no node to relay to %s", a.sidecar.Address)
	}
	stream, err := a.x.server.config.Links.Open(opening, relay.Address)
	if err != nil {
		return nil, err
	}
	err = stream.Send(wire.KindRelay, &wire.Relay{Address: a.sidecar.Address})
	return stream, errors.Wrapf(err, "front: relay by %s", relay.Address)
}

// open opens a direct stream whose session has just given a sign of life.
func (a *attempt) open(ctx context.Context) (*link.Stream, error) {
	stream, err := a.x.server.config.Links.Open(ctx, a.sidecar.Address)
	if err != nil {
		return nil, err
	}
	if err := stream.Ping(ctx); err != nil {
		_ = stream.Close()
		a.x.server.config.Links.Drop(a.sidecar.Address)
		return nil, err
	}
	return stream, nil
}
