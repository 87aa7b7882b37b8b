package front

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/limit"
	"github.com/figwick/figwick/internal/policy/retry"
	"github.com/figwick/figwick/internal/policy/route"
	"github.com/figwick/figwick/internal/state/config"
	"github.com/figwick/figwick/internal/state/keys"
)

const (
	// TimeoutHeader may shorten a request's deadline; a Go duration.
	TimeoutHeader = "Figwick-Timeout"
	// RepeatableHeader may mark a request as not repeatable by "false".
	RepeatableHeader = "Figwick-Repeatable"
	// KeyHeader names a request over several submissions.
	KeyHeader = "Idempotency-Key"

	// againPause is the wait before the same sidecars are tried again.
	againPause = 10 * time.Millisecond
	// mostUnknown is how long a request waits for a sidecar to be known, since
	// an ingress that has just started hears of them soon.
	mostUnknown = time.Second
	// mostRefused is the most sidecars that are asked for one request, where a
	// refusal costs no more than a message.
	mostRefused = 6
	// retrySoon is when a caller that was refused for load may come again.
	retrySoon = time.Second
)

// exchange is one caller's request on its way to an outcome.
type exchange struct {
	server   *Server
	writer   http.ResponseWriter
	request  *http.Request
	arrived  time.Time
	deadline time.Time
	match    config.Match
	// ask is what the caller says of the request.
	ask Ask
	// repeatable is the match's, unless the request says otherwise.
	repeatable bool
	body       *source
	headers    []*wire.Header
	plan       retry.Plan
	tried      []string
	// succeeded tells that the caller got an answer that is no failure.
	succeeded bool
	// direct tells that a sidecar without a free slot is to refuse at once.
	direct bool
	// resort tells that no sidecar is expected to take the request, so that a
	// backend server held to be sick may.
	resort bool
	// moved tells that the last sidecar has no backend servers any more.
	moved bool
	// committed tells that the answer's head has gone to the caller.
	committed bool
	// race is the attempts that run now.
	race race
	// claim is the request's idempotency key, where it bears one.
	claim *keys.Claim
	// last is why the last attempt failed.
	last trouble
	// fallback is what a backend server answered, where that is a failure.
	fallback *answer
	// served is the backend server's own time.
	served time.Duration
}

// serve takes the request to an outcome.
func (x *exchange) serve() {
	if !x.accept() {
		return
	}
	ctx, cancel := context.WithCancel(x.request.Context())
	defer cancel()
	x.body = newSource(x)
	defer x.body.close()
	if x.repeatable || x.ask.Key == "" || x.server.config.Keys == nil {
		x.run(ctx)
		return
	}
	x.runKeyed(ctx)
}

// run makes attempts until there is an outcome, which it tells the caller.
func (x *exchange) run(ctx context.Context) {
	for {
		sidecar, found := x.next(ctx)
		if !found {
			x.end(x.plan.GiveUp())
			return
		}
		result := x.make(ctx, sidecar)
		if result.answered {
			x.answered()
			return
		}
		if ctx.Err() != nil {
			x.abandon()
			return
		}
		x.last = result.trouble
		if result.fallback != nil {
			x.fallback = result.fallback
		}
		x.moved = result.moved
		step := x.after(result.outcome)
		if step != retry.TryAgain || !x.body.replay() {
			x.end(x.finalStep(step))
			return
		}
		x.server.config.Meter.Retries.Inc(1)
	}
}

// make makes one attempt, hedged where the service wants it.
func (x *exchange) make(ctx context.Context, sidecar route.Sidecar) result {
	if x.mayHedge() {
		return x.hedged(ctx, sidecar)
	}
	return x.attempt(ctx, sidecar, x.direct, false)
}

// next picks the sidecar for the next attempt. Where none is left, or the last
// one has lost its backend servers, the directory is asked anew.
func (x *exchange) next(ctx context.Context) (route.Sidecar, bool) {
	if x.server.config.DirectTries > 0 {
		return x.nextWilling(ctx)
	}
	if x.moved {
		x.server.find(ctx, x.match.Entry.Name)
	}
	sidecar, found := x.pick()
	if found {
		return sidecar, true
	}
	if !x.moved {
		x.server.find(ctx, x.match.Entry.Name)
	}
	if sidecar, found = x.pick(); found {
		return sidecar, true
	}
	x.tried = x.tried[:0]
	select {
	case <-x.server.config.Clock.After(againPause):
	case <-ctx.Done():
	}
	return x.pick()
}

// nextWilling looks for a free slot first, then for the best line to wait in, and
// last for whoever may take the request at all.
func (x *exchange) nextWilling(ctx context.Context) (route.Sidecar, bool) {
	x.direct = x.direct && x.plan.Refused() < x.server.config.DirectTries
	for range 2 {
		sidecar, found, willing := x.pickWilling()
		if found {
			return sidecar, true
		}
		if !willing {
			x.resort = true
			return x.pickAny(ctx)
		}
		wasDirect := x.direct
		x.direct = false
		x.tried = x.tried[:0]
		if wasDirect {
			continue
		}
		select {
		case <-x.server.config.Clock.After(againPause):
		case <-ctx.Done():
			return route.Sidecar{}, false
		}
	}
	return x.pick()
}

// pickAny picks from all sidecars, and waits a moment for one to be known.
func (x *exchange) pickAny(ctx context.Context) (route.Sidecar, bool) {
	until := x.arrived.Add(min(mostUnknown, x.deadline.Sub(x.arrived)/2))
	for {
		if sidecar, found := x.pick(); found || len(x.tried) > 0 || !x.now().Before(until) {
			return sidecar, found
		}
		select {
		case <-x.server.config.Clock.After(againPause):
		case <-ctx.Done():
			return route.Sidecar{}, false
		}
	}
}

func (x *exchange) pickWilling() (sidecar route.Sidecar, found, willing bool) {
	x.server.with(x.match.Entry.Name, func(t turn.Turn, l *lane) {
		sidecar, found, willing = l.picker.PickAvailable(t, x.tried, x.mayTry())
	})
	if found {
		x.tried = append(x.tried, sidecar.Address)
	}
	return sidecar, found, willing
}

// after decides what follows an attempt. The budget is the lane's, so it needs
// the lane's mutex.
func (x *exchange) after(o retry.Outcome) retry.Step {
	var step retry.Step
	x.server.with(x.match.Entry.Name, func(t turn.Turn, _ *lane) { step = x.plan.Next(t.Now, o) })
	return step
}

func (x *exchange) finalStep(step retry.Step) retry.Step {
	if step == retry.TryAgain {
		return x.plan.GiveUp()
	}
	return step
}

func (x *exchange) answered() {
	m := x.server.config.Meter
	m.Answered.Inc(1)
	took := x.now().Sub(x.arrived)
	m.Latency.RecordDuration(took)
	m.Added.RecordDuration(max(0, took-x.served))
}

// end tells the caller the outcome.
func (x *exchange) end(step retry.Step) {
	if x.fallback != nil {
		x.reportFailure(x.fallback, x.plan.GiveUpReason())
		if err := x.fallback.finish(x.fallback.trailers); err == nil {
			x.answered()
		}
		return
	}
	if step == retry.GiveUpUnknown {
		x.unknown(x.last.step, x.last.peer, x.last.detail)
		return
	}
	t := x.last
	if t.status == 0 {
		t = trouble{step: "route", detail: "no backend server can take the request now"}
	}
	if t.status == http.StatusRequestEntityTooLarge {
		x.notRun(t)
		return
	}
	t.status = http.StatusServiceUnavailable
	if !x.now().Before(x.deadline) {
		t.status = http.StatusGatewayTimeout
	}
	t.again = retrySoon
	x.notRun(t)
}

// reportFailure logs a backend server's failure that goes to the caller, and why
// nothing else was tried.
func (x *exchange) reportFailure(failure *answer, reason string) {
	events.Emit(x.server.config.Log, events.FailurePassed, "request", x.ask.ID, "service", x.service(),
		"status", failure.head.Status, "attempts", x.plan.Attempts(), "refused", x.plan.Refused(),
		"most", x.plan.MaxAttempts, "reason", reason, "last", x.last.detail, "peer", x.last.peer,
		"took", x.now().Sub(x.arrived).String())
}

// abandon ends the exchange of a caller that has gone. Nobody reads the answer;
// it is there for logs and for callers that only seem gone.
func (x *exchange) abandon() {
	if x.plan.MayHaveRun() || x.plan.Attempts() == 0 {
		x.unknown("caller", "", "the caller went away")
		return
	}
	x.notRun(trouble{status: http.StatusServiceUnavailable, step: "caller", detail: "the caller went away"})
}

func (x *exchange) pick() (route.Sidecar, bool) {
	return x.pickFor(x.mayTry())
}

// pickProven picks a sidecar whose backend server is not on trial, where there
// is one.
func (x *exchange) pickProven() (route.Sidecar, bool) {
	return x.pickFor(false)
}

func (x *exchange) pickFor(mayTry bool) (route.Sidecar, bool) {
	var sidecar route.Sidecar
	found := false
	x.server.with(x.match.Entry.Name, func(t turn.Turn, l *lane) {
		sidecar, found = l.picker.Pick(t, x.tried, mayTry)
	})
	if found {
		x.tried = append(x.tried, sidecar.Address)
	}
	return sidecar, found
}

// mayTry tells whether the request may go to a backend server on trial: one that
// may run again, and whose first try has not failed.
func (x *exchange) mayTry() bool {
	return x.repeatable && !x.plan.IsRetry()
}

// path is how soon a silent path is given up for this request.
func (x *exchange) path() Path {
	return x.server.config.Path.within(x.match.TargetLatency)
}

func (x *exchange) now() time.Time {
	return x.server.config.Clock.Now()
}

// accept checks a request before anything is attempted.
func (x *exchange) accept() bool {
	r := x.request
	// The caller's id belongs on every answer, those to unreadable requests too.
	ask, err := x.server.config.Dialect.Read(r.Header)
	x.ask = ask
	if err != nil {
		x.notRun(trouble{status: http.StatusBadRequest, step: "accept", detail: err.Error()})
		return false
	}
	if r.Method == http.MethodConnect || upgrade(r) {
		x.notRun(trouble{status: http.StatusNotImplemented, step: "accept", detail: "CONNECT and Upgrade are not served"})
		return false
	}
	table := x.server.Table()
	if table == nil {
		x.notRun(trouble{
			status: http.StatusServiceUnavailable, step: "accept", again: retrySoon,
			detail: "this node has no configuration yet",
		})
		return false
	}
	match, found := table.Match(r.Host, r.Method, targetPath(r), x.server.config.Random.Float64())
	if !found {
		x.notRun(trouble{status: http.StatusNotFound, step: "route", detail: fmt.Sprintf("no service for host %q", r.Host)})
		return false
	}
	x.match = match
	x.takeAsk()
	if r.ContentLength > match.MaxBodyBytes {
		x.notRun(trouble{
			status: http.StatusRequestEntityTooLarge, step: "accept",
			detail: fmt.Sprintf("the body has more than %d bytes", match.MaxBodyBytes),
		})
		return false
	}
	x.plans()
	return x.acceptLimit()
}

// targetPath is the path as it stands in the request line.
func targetPath(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		target, _, _ := strings.Cut(r.RequestURI, "?")
		return target
	}
	return r.URL.EscapedPath()
}

// takeAsk joins what the caller says of its request with what the route does.
func (x *exchange) takeAsk() {
	ask := x.ask
	x.repeatable = x.match.Repeatable && !ask.Once
	timeout := x.match.Deadline
	if ask.Timeout > 0 {
		timeout = min(timeout, max(ask.Timeout-x.server.config.Margin, ask.Timeout/2))
	}
	x.deadline = x.arrived.Add(timeout)
	x.headers = x.forwarded()
}

// plans prepares the attempts.
func (x *exchange) plans() {
	x.server.with(x.match.Entry.Name, func(t turn.Turn, l *lane) {
		l.used = t.Now
		l.budget.Earn(t.Now, x.match.Entry.Retry.BudgetPercent)
		x.plan = retry.Plan{
			Repeatable:  x.repeatable,
			MaxAttempts: x.match.Attempts,
			Deadline:    x.deadline,
		}
		if !x.server.config.SidecarsPay {
			x.plan.Budget = &l.budget
		}
		if x.server.config.DirectTries > 0 {
			x.plan.MaxRefused = mostRefused
			x.direct = true
		}
	})
}

func (x *exchange) acceptLimit() bool {
	e := x.match.Entry
	caller := x.caller()
	l, limited := x.match.Table.Limit(e, caller)
	if !limited {
		return true
	}
	allowed := false
	var again time.Duration
	x.server.Limits(func(now time.Time, local *limit.Limiter) {
		key := limit.Key{Service: e.Name, Caller: caller}
		allowed, again = local.Allow(now, key, limit.Rate{PerSecond: l.Rate, Burst: l.Burst})
	})
	if allowed {
		return true
	}
	x.server.config.Meter.Limited.Inc(1)
	x.notRun(trouble{
		status: http.StatusTooManyRequests, step: "limit", again: max(again, time.Millisecond),
		detail: fmt.Sprintf("caller %q is over its limit of %g requests a second", caller, l.Rate),
	})
	return false
}

func (x *exchange) caller() ident.Caller {
	if name := x.match.Entry.Limits.CallerHeader; name != "" {
		if id := x.request.Header.Get(name); id != "" {
			return ident.Caller(id)
		}
	}
	host, _, err := net.SplitHostPort(x.request.RemoteAddr)
	if err != nil {
		return ident.Caller(x.request.RemoteAddr)
	}
	return ident.Caller(host)
}

// forwarded returns the headers for the backend server: the caller's own, less
// those that end here, with the caller's address added.
func (x *exchange) forwarded() []*wire.Header {
	h := x.request.Header
	list := wire.FromHeader(h)
	kept := list[:0]
	for _, field := range list {
		if field.Name == "Expect" || field.Name == "X-Forwarded-For" || !x.server.config.Dialect.Keeps(field.Name) {
			continue
		}
		kept = append(kept, field)
	}
	if h.Get("Te") == "trailers" {
		kept = append(kept, &wire.Header{Name: "Te", Value: "trailers"})
	}
	through := append(append([]string{}, h["X-Forwarded-For"]...), hostOf(x.request.RemoteAddr))
	return append(kept, &wire.Header{Name: "X-Forwarded-For", Value: strings.Join(through, ", ")})
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

func upgrade(r *http.Request) bool {
	return r.Header.Get("Upgrade") != "" || r.Method == http.MethodConnect
}

// errPath marks an attempt whose path fell silent.
var errPath = errors.New("front: path fell silent")
