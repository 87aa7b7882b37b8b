package admit

import (
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/queue"
	"github.com/figwick/figwick/internal/state/roster"
)

// minLimitPause is the shortest pause that is named because of a limit.
const minLimitPause = 500 * time.Millisecond

type (
	// Notice is what a backend server says of itself in a response.
	Notice struct {
		// Leaving says that the server leaves and must get no further request.
		Leaving bool
		Limit   Limit
	}

	// Limit is the rate that a backend server takes from all callers together. The
	// zero value says that it takes any number.
	Limit struct {
		Named     bool
		PerSecond float64
		// Unreadable says that the server has named a limit that is not a number of
		// requests. What it named before holds on.
		Unreadable bool
	}
)

// ApplyNotice applies what a backend server says of itself in the response to an attempt.
// It reports whether the server is leaving and this was not known.
func (c *Controller) ApplyNotice(t eval.Context, id ident.Attempt, n Notice) (ops Ops, leaving bool) {
	h, found := c.active[id]
	if !found || h.server == "" {
		return ops, false
	}
	s, v := c.services[h.Service], h.serverState
	if s.servers[h.server] != v {
		return ops, false
	}
	switch {
	case n.Limit.Named:
		v.limitNamedAt = t.Now
		c.applyOutcome(t, s, s.queue.Limit(t, v.ID, n.Limit.PerSecond), &ops)
	case !n.Limit.Unreadable && !h.startedAt.Before(v.limitNamedAt):
		// A response to an attempt that started earlier may be older than the limit.
		c.applyOutcome(t, s, s.queue.Lift(t, v.ID), &ops)
	}
	if !n.Leaving || v.State == roster.Draining {
		return ops, false
	}
	if change, known := c.roster.Drain(v.ID, v.Incarnation); known {
		c.applyChange(t, change, &ops)
	}
	return ops, true
}

// RestoreLeaving notes that an incarnation of a backend server has told an ingress that it
// leaves. It gets no further attempts, and later announcements of that incarnation do not
// change this.
func (c *Controller) RestoreLeaving(t eval.Context, id ident.Backend, incarnation ident.Incarnation) Ops {
	var ops Ops
	change, known := c.roster.Drain(id, incarnation)
	if known {
		c.applyChange(t, change, &ops)
		return ops
	}
	if c.serviceOf(id) == nil {
		return c.RestoreDeparture(t, id, incarnation)
	}
	return ops
}

// limitPause returns how long the limits of the servers keep back such attempts, 0 if that
// is so short that an attempt may wait for it.
func (s *service) limitPause(t eval.Context, e queue.Entry) time.Duration {
	if wait := s.queue.QuotaWait(t, e); wait >= minLimitPause {
		return wait
	}
	return 0
}
