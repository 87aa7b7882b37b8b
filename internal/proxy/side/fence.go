package side

import (
	"context"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/policy/fence"
)

// maxFenceWait bounds how long a fence waits for a running attempt.
const maxFenceWait = time.Minute

// HandleFence replies with the fate of an attempt on a stream whose Fence was
// received. It waits for a running attempt to end, up to the time that the fence
// allows.
func (s *Server) HandleFence(ctx context.Context, conn *wire.Conn, request *wire.Fence) {
	if request.Stamp == nil || ident.Instance(request.Stamp.Instance) != s.config.Instance {
		_ = conn.Send(wire.KindFenceReply, &wire.FenceReply{Fate: wire.Fate_FATE_INSTANCE})
		return
	}
	id := ident.Attempt(request.Attempt)
	fate, answer, ended := s.fate(id, request.Stamp)
	if fate == fence.Running && request.WaitMs > 0 {
		s.waitForEnd(ctx, ended, min(time.Duration(request.WaitMs)*time.Millisecond, maxFenceWait))
		fate, answer, _ = s.fate(id, request.Stamp)
	}
	_ = conn.Send(wire.KindFenceReply, reply(fate, answer))
}

// fate queries the controller. For a running attempt it also returns a channel
// that is closed when the attempt ends.
func (s *Server) fate(id ident.Attempt, stamp *wire.Stamp) (fence.Fate, *fence.Answer, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fate, answer, ops := s.config.Controller.Fence(s.turn(), id, s.startBefore(stamp))
	s.deliver(ops)
	if fate != fence.Running {
		return fate, answer, nil
	}
	ended := make(chan struct{})
	s.endWaiters[id] = append(s.endWaiters[id], ended)
	return fate, nil, ended
}

func (s *Server) waitForEnd(ctx context.Context, ended <-chan struct{}, wait time.Duration) {
	select {
	case <-ended:
	case <-s.config.Clock.After(wait):
	case <-ctx.Done():
	}
}

// Release discards the kept response of an attempt after the ingress has
// acknowledged it.
func (s *Server) Release(id ident.Attempt) {
	s.WithController(func(_ eval.Context, d *admit.Controller) { d.Release(id) })
}

// reply builds the reply to a fence. An attempt whose response is not kept is
// reported as started.
func reply(fate fence.Fate, answer *fence.Answer) *wire.FenceReply {
	switch fate {
	case fence.NotStarted:
		return &wire.FenceReply{Fate: wire.Fate_FATE_NOT_STARTED}
	case fence.Answered:
		if answer == nil {
			return &wire.FenceReply{Fate: wire.Fate_FATE_STARTED}
		}
		k, ok := answer.Value.(*keptAnswer)
		if !ok {
			return &wire.FenceReply{Fate: wire.Fate_FATE_STARTED}
		}
		return &wire.FenceReply{Fate: wire.Fate_FATE_ANSWERED, Head: k.head, Body: k.body, Trailers: k.trailers}
	default:
		return &wire.FenceReply{Fate: wire.Fate_FATE_STARTED}
	}
}
