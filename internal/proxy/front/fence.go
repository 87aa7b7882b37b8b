package front

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/peer/link"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/retry"
)

const (
	// fenceSlack is added to the timeout of a fence, beyond the time that a
	// running attempt may still take.
	fenceSlack = 200 * time.Millisecond
	// fenceRelays is the number of relays through which a fence is sent in
	// addition to the direct path.
	fenceRelays = 2
)

// resolveFate determines whether an attempt whose response was lost has run. It
// sends fences directly and through relays at the same time, since a lossy path
// may deliver a fence and lose its reply. The first reply decides. Without one
// the result stays as it is.
func (a *attempt) resolveFate(ctx context.Context, lost result) result {
	// The caller gets its answer at its deadline, whether or not the fate is
	// known.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.x.answerBy().Sub(a.x.now()))
	defer cancel()
	// The empty relay stands for the direct path.
	relays := append([]string{""}, a.x.server.config.Relays.Relays(a.sidecar.Address, fenceRelays)...)
	replies := make(chan *wire.FenceReply, len(relays))
	for _, relay := range relays {
		a.x.server.config.Meter.Fences.Inc(1)
		go func() {
			reply, err := a.sendFence(ctx, relay)
			if err != nil {
				reply = nil
			}
			replies <- reply
		}()
	}
	for range relays {
		reply := <-replies
		if reply == nil {
			continue
		}
		switch reply.Fate {
		case wire.Fate_FATE_NOT_STARTED:
			lost.outcome = retry.Unreached
			return lost
		case wire.Fate_FATE_ANSWERED:
			if !isSound(reply.Head) || !wire.ValidNames(reply.Trailers) {
				return lost
			}
			return a.deliverRecovered(reply)
		default:
			return lost
		}
	}
	return lost
}

// deliverRecovered sends the caller a response that a fence has retrieved.
func (a *attempt) deliverRecovered(reply *wire.FenceReply) result {
	a.x.server.config.Meter.Recovered.Inc(1)
	events.Emit(a.x.server.config.Log, events.AnswerRecovered,
		"service", string(a.x.match.Entry.Name), "peer", a.sidecar.Address)
	if reply.Head.GetDeparted() != nil {
		a.x.noteDeparture(a.sidecar.Address, reply.Head.Departed)
	}
	r := a.x.newResponse(reply.Head)
	r.held = reply.Body
	if err := r.finish(reply.Trailers); err != nil {
		a.x.abortConnection(a, err)
	}
	return result{outcome: retry.Answered}
}

// sendFence asks the sidecar for the attempt's fate and prevents an attempt that
// has not started from starting. An empty relay means the direct path.
func (a *attempt) sendFence(ctx context.Context, relay string) (*wire.FenceReply, error) {
	wait := max(0, a.x.answerBy().Sub(a.x.now()))
	ctx, cancel := context.WithTimeout(ctx, wait+fenceSlack)
	defer cancel()
	stream, err := a.openVia(ctx, relay)
	if err != nil {
		return nil, err
	}
	defer stream.Release()
	defer stream.Close()
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	request := &wire.Fence{Attempt: string(a.id), Stamp: a.stamp, WaitMs: wait.Milliseconds()}
	if err := stream.Send(wire.KindFence, request); err != nil {
		return nil, errors.Wrapf(err, "front: fence at %s", a.sidecar.Address)
	}
	reply, err := wire.Receive[wire.FenceReply](stream.Conn, wire.KindFenceReply)
	return reply, errors.Wrapf(err, "front: fence at %s", a.sidecar.Address)
}

// openVia opens a stream to the sidecar, directly or through a relay.
func (a *attempt) openVia(ctx context.Context, relay string) (*link.Stream, error) {
	openCtx, cancel := context.WithTimeout(ctx, a.x.server.config.PathTimeouts.Open)
	defer cancel()
	if relay == "" {
		return a.openDirect(openCtx)
	}
	stream, err := a.x.server.config.Links.Open(openCtx, relay)
	if err != nil {
		return nil, err
	}
	err = stream.Send(wire.KindRelay, &wire.Relay{Address: a.sidecar.Address})
	return stream, errors.Wrapf(err, "front: relay through %s", relay)
}

// openDirect opens a direct stream and pings its session. If the ping fails, it
// drops the session.
func (a *attempt) openDirect(ctx context.Context) (*link.Stream, error) {
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
