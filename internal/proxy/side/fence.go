package side

import (
	"context"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/desk"
	"github.com/figwick/figwick/internal/policy/fence"
)

// mostFenceWait bounds how long a fence waits for a running attempt.
const mostFenceWait = time.Minute

// Fence tells the fate of an attempt on a stream whose Fence was received.
func (s *Server) Fence(ctx context.Context, conn *wire.Conn, ask *wire.Fence) {
	if ask.Stamp == nil || ident.Instance(ask.Stamp.Instance) != s.config.Instance {
		_ = conn.Send(wire.KindFenceReply, &wire.FenceReply{Fate: wire.Fate_FATE_INSTANCE})
		return
	}
	id := ident.Attempt(ask.Attempt)
	fate, answer, ended := s.fate(id, ask.Stamp)
	if fate == fence.Running && ask.WaitMs > 0 {
		s.await(ctx, ended, min(time.Duration(ask.WaitMs)*time.Millisecond, mostFenceWait))
		fate, answer, _ = s.fate(id, ask.Stamp)
	}
	_ = conn.Send(wire.KindFenceReply, reply(fate, answer))
}

// fate asks the Desk, and where the attempt runs, to be told of its end.
func (s *Server) fate(id ident.Attempt, stamp *wire.Stamp) (fence.Fate, *fence.Answer, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fate, answer, ops := s.config.Desk.Fence(s.turn(), id, s.moment(stamp))
	s.deliver(ops)
	if fate != fence.Running {
		return fate, answer, nil
	}
	ended := make(chan struct{})
	s.fated[id] = append(s.fated[id], ended)
	return fate, nil, ended
}

func (s *Server) await(ctx context.Context, ended <-chan struct{}, wait time.Duration) {
	select {
	case <-ended:
	case <-s.config.Clock.After(wait):
	case <-ctx.Done():
	}
}

// Release drops the kept answer of an attempt whose ingress has it.
func (s *Server) Release(id ident.Attempt) {
	s.Look(func(_ turn.Turn, d *desk.Controller) { d.Release(id) })
}

func reply(fate fence.Fate, answer *fence.Answer) *wire.FenceReply {
	switch fate {
	case fence.NotStarted:
		return &wire.FenceReply{Fate: wire.Fate_FATE_NOT_STARTED}
	case fence.Answered:
		if answer == nil {
			return &wire.FenceReply{Fate: wire.Fate_FATE_STARTED}
		}
		k, ok := answer.Value.(*kept)
		if !ok {
			return &wire.FenceReply{Fate: wire.Fate_FATE_STARTED}
		}
		return &wire.FenceReply{Fate: wire.Fate_FATE_ANSWERED, Head: k.head, Body: k.body, Trailers: k.trailers}
	default:
		return &wire.FenceReply{Fate: wire.Fate_FATE_STARTED}
	}
}
