package front

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/policy/retry"
	"github.com/figwick/figwick/internal/policy/route"
)

// errHedged is the cause that cancels an attempt when another attempt has
// received the header of a response.
var errHedged = errors.New("front: another attempt answered first")

// race tracks the attempts at one request that run at the same time. The first
// one that receives the header of a response wins: its response goes to the
// caller and the others are canceled.
type race struct {
	mutex    sync.Mutex
	attempts []*attempt
	winner   *attempt
}

// add adds a running attempt.
func (r *race) add(a *attempt) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.attempts = append(r.attempts, a)
}

// win makes an attempt the winner and cancels the others. It reports false if
// another attempt has won already.
func (r *race) win(a *attempt) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.winner != nil && r.winner != a {
		return false
	}
	r.winner = a
	for _, other := range r.attempts {
		if other != a {
			other.cancel(errHedged)
		}
	}
	return true
}

// remove removes an attempt that has ended. If it was the winner, another attempt
// can win.
func (r *race) remove(a *attempt) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.winner == a {
		r.winner = nil
	}
	for i, other := range r.attempts {
		if other == a {
			r.attempts = append(r.attempts[:i], r.attempts[i+1:]...)
			return
		}
	}
}

// alone reports whether at most one attempt is running.
func (r *race) alone() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.attempts) < 2
}

// attemptEnd is how an attempt ended in its goroutine: with a result or with a
// panic, which is raised again in the handler's goroutine.
type attemptEnd struct {
	result     result
	panicValue any
}

// makeHedged makes an attempt. If it has not ended after the service's hedge
// delay and the retry budget allows it, a second attempt at another sidecar joins
// it.
func (x *exchange) makeHedged(ctx context.Context, sidecar route.Sidecar) result {
	ends := make(chan attemptEnd, 2)
	go x.runAttempt(ctx, sidecar, x.noWait, false, ends)
	running := 1
	select {
	case end := <-ends:
		return x.resultOrPanic(end)
	case <-x.server.config.Clock.After(x.match.HedgeAfter):
	}
	if hedge, found := x.pickHedge(); found {
		x.server.config.Meter.Hedges.Inc(1)
		// The hedge does not queue, since waiting for a slot would be no quicker
		// than the first attempt.
		go x.runAttempt(ctx, hedge, true, true, ends)
		running++
	}
	var r result
	for left := running - 1; left >= 0; left-- {
		r = x.resultOrPanic(<-ends)
		if r.outcome == retry.Answered {
			return r
		}
		if r.fallback != nil {
			x.fallback = r.fallback
		}
	}
	return r
}

// runAttempt makes an attempt in the current goroutine and reports how it ended.
func (x *exchange) runAttempt(ctx context.Context, sidecar route.Sidecar, noWait, hedge bool, ends chan<- attemptEnd) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			ends <- attemptEnd{panicValue: panicValue}
		}
	}()
	ends <- attemptEnd{result: x.attempt(ctx, sidecar, noWait, hedge)}
}

// resultOrPanic returns the result of an attempt or raises its panic again.
func (x *exchange) resultOrPanic(end attemptEnd) result {
	if end.panicValue != nil {
		panic(end.panicValue)
	}
	return end.result
}

// pickHedge picks the sidecar for a hedge. It spends a token of the retry budget
// unless the sidecars keep the budget.
func (x *exchange) pickHedge() (route.Sidecar, bool) {
	if x.server.config.SidecarRetryBudget {
		return x.pickWithoutTrial()
	}
	paid := false
	x.server.withService(x.match.Entry.Name, func(t eval.Context, svc *service) { paid = svc.budget.Spend(t.Now) })
	if !paid {
		return route.Sidecar{}, false
	}
	return x.pickWithoutTrial()
}

// mayHedge reports whether the request may be hedged. It must be repeatable and
// without a body, the service must have a hedge delay, and more than one attempt
// must be left.
func (x *exchange) mayHedge() bool {
	return x.repeatable && x.body.length == 0 && x.match.HedgeAfter > 0 && !x.plan.IsLastAttempt()
}
