package queue

import (
	"math"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
)

// Limit holds the attempts that a server gets within a rate in requests per second,
// which the server has named.
func (q *Queue) Limit(t eval.Context, id ident.Backend, perSecond float64) Outcome {
	s := q.server(id)
	if s == nil {
		return Outcome{}
	}
	s.Quota.Name(t.Now, perSecond)
	return q.dispatch(t)
}

// Lift ends the limit of a server.
func (q *Queue) Lift(t eval.Context, id ident.Backend) Outcome {
	s := q.server(id)
	if s == nil || !s.Quota.Named() {
		return Outcome{}
	}
	s.Quota.Lift()
	return q.dispatch(t)
}

// QuotaWait returns how long every server that accepts an attempt is held back by its
// quota, or zero if one of them is not.
func (q *Queue) QuotaWait(t eval.Context, e Entry) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, s := range q.servers {
		if s.accepts(e) {
			shortest = min(shortest, s.Quota.Wait(t.Now, 1))
		}
	}
	if shortest == math.MaxInt64 {
		return 0
	}
	return shortest
}

// missesQuota estimates whether the quotas of the servers make an attempt miss its
// target, or its deadline if it has no target, when a number of others go before it. After its
// target it would go behind all others that come.
func (q *Queue) missesQuota(t eval.Context, e Entry, ahead int) bool {
	perSecond, available := 0.0, 0
	for _, s := range q.servers {
		if !s.accepts(e) {
			continue
		}
		if !s.Quota.Named() {
			return false
		}
		perSecond += s.Quota.PerSecond()
		available += max(0, s.Quota.Available(t.Now))
	}
	missing := ahead + 1 - available
	if perSecond == 0 || missing <= 0 {
		return false
	}
	seconds := float64(missing) / perSecond / q.quotaShare(t, e.Priority, perSecond)
	end := e.Deadline
	if !e.Target.IsZero() && e.Target.Before(end) {
		end = e.Target
	}
	return seconds > end.Sub(t.Now.Add(q.meanOf(e.Priority))).Seconds()
}

// quotaShare returns the share of a rate that more urgent attempts leave.
func (q *Queue) quotaShare(t eval.Context, priority int, perSecond float64) float64 {
	urgent := 0.0
	for p, f := range q.arrivals {
		if p < priority {
			urgent += f.perSecond(t.Now)
		}
	}
	return max(minSlotShare, 1-urgent/perSecond)
}

// take uses one slot, and one request of the quota.
func (s *Server) take(t eval.Context) {
	s.Busy++
	s.Quota.Take(t.Now)
}

// free returns how many attempts the server may get at once.
func (s *Server) free(t eval.Context) int {
	return max(0, min(s.usableSlots(t)-s.Busy, s.Quota.Available(t.Now)))
}
