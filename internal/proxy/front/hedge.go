package front

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/policy/route"
)

// errHedged ends the attempt whose rival has the head of an answer.
var errHedged = errors.New("front: another attempt was quicker")

// race is the attempts at one request that run at the same time. The first to
// have the head of an answer owns the caller's response; the others end.
type race struct {
	mutex   sync.Mutex
	runners []*attempt
	owner   *attempt
}

// enter adds an attempt and reports whether there is still something to win.
func (r *race) enter(a *attempt) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runners = append(r.runners, a)
}

// win makes an attempt the owner, unless there is one.
func (r *race) win(a *attempt) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.owner != nil && r.owner != a {
		return false
	}
	r.owner = a
	for _, other := range r.runners {
		if other != a {
			other.cancel(errHedged)
		}
	}
	return true
}

// leave takes an attempt out that has ended without an answer.
func (r *race) leave(a *attempt) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.owner == a {
		r.owner = nil
	}
	for i, other := range r.runners {
		if other == a {
			r.runners = append(r.runners[:i], r.runners[i+1:]...)
			return
		}
	}
}

// alone reports whether no other attempt runs.
func (r *race) alone() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.runners) < 2
}

// finished is the end of one attempt of a race: its result, or what it panicked
// with, which belongs into the handler's goroutine.
type finished struct {
	result result
	cause  any
}

// hedged makes an attempt, and a second one elsewhere where the first has no
// answer after the service's hedge time and the budget allows it.
func (x *exchange) hedged(ctx context.Context, sidecar route.Sidecar) result {
	ends := make(chan finished, 2)
	go x.runner(ctx, sidecar, x.direct, false, ends)
	running := 1
	select {
	case end := <-ends:
		return x.conclude(end)
	case <-x.server.config.Clock.After(x.match.HedgeAfter):
	}
	if second, found := x.second(); found {
		x.server.config.Meter.Hedges.Inc(1)
		// A line would be no quicker than the first attempt.
		go x.runner(ctx, second, true, true, ends)
		running++
	}
	var r result
	for left := running - 1; left >= 0; left-- {
		r = x.conclude(<-ends)
		if r.answered {
			return r
		}
		if left > 0 {
			x.plan.Record(r.outcome)
		}
		if r.fallback != nil {
			x.fallback = r.fallback
		}
	}
	return r
}

func (x *exchange) runner(ctx context.Context, sidecar route.Sidecar, direct, hedge bool, ends chan<- finished) {
	defer func() {
		if cause := recover(); cause != nil {
			ends <- finished{cause: cause}
		}
	}()
	ends <- finished{result: x.attempt(ctx, sidecar, direct, hedge)}
}

func (x *exchange) conclude(end finished) result {
	if end.cause != nil {
		panic(end.cause)
	}
	return end.result
}

// second picks the sidecar for a hedge, and pays for it where the sidecar does
// not.
func (x *exchange) second() (route.Sidecar, bool) {
	if x.server.config.SidecarsPay {
		return x.pickProven()
	}
	paid := false
	x.server.with(x.match.Entry.Name, func(t turn.Turn, l *lane) { paid = l.budget.Spend(t.Now) })
	if !paid {
		return route.Sidecar{}, false
	}
	return x.pickProven()
}

// mayHedge tells whether a request may be sent twice at once.
func (x *exchange) mayHedge() bool {
	return x.repeatable && x.body.length == 0 && x.match.HedgeAfter > 0 && !x.plan.IsLastAttempt()
}
