package front

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/retry"
	"github.com/figwick/figwick/internal/policy/route"
	"github.com/figwick/figwick/internal/proxy/conns"
	"github.com/figwick/figwick/internal/state/config"
	"github.com/figwick/figwick/internal/state/keys"
)

const (
	// TimeoutHeader may shorten a request's deadline. Its value is a Go duration.
	TimeoutHeader = "Figwick-Timeout"
	// RepeatableHeader marks a request as not repeatable when its value is
	// "false".
	RepeatableHeader = "Figwick-Repeatable"
	// KeyHeader carries an idempotency key. It identifies a request across
	// several submissions.
	KeyHeader = "Idempotency-Key"
	// APIKeyHeader carries the API key of a caller. Backend servers never receive it.
	APIKeyHeader = "Figwick-Key"
	// OrganisationHeader carries the name of the organisation to which the caller's key
	// belongs. Only backend servers receive it.
	OrganisationHeader = "Figwick-Organisation"

	// repickPause is the wait before sidecars that were already tried are tried
	// again.
	repickPause = 10 * time.Millisecond
	// maxDiscoveryWait is how long a request waits for a first sidecar to become
	// known. An ingress that has just started learns of the sidecars soon.
	maxDiscoveryWait = time.Second
	// maxRefused is the maximum number of sidecars that may refuse one request
	// when NoWaitTries is set. A refusal costs no more than a message.
	maxRefused = 6
	// maxNoWaitFactor times NoWaitTries sidecars are asked for a free slot while they are
	// likely to have one. A refusal costs a message, a wait behind a full backend server a
	// part of a service time.
	maxNoWaitFactor = 2
	// overloadRetryAfter is the Retry-After of a request that was refused because
	// of load or for lack of a configuration.
	overloadRetryAfter = time.Second
)

// exchange is one caller's request, from its arrival to its outcome.
type exchange struct {
	server   *Server
	writer   http.ResponseWriter
	request  *http.Request
	arrived  time.Time
	deadline time.Time
	match    config.Match
	// options are the per-request options from the caller's header fields.
	options RequestOptions
	// organisation is the one to which the caller's API key belongs. It is nil if there
	// is none.
	organisation *config.Organisation
	// quotaToken is the token that was taken of the organisation's quota, or nil.
	quotaToken *QuotaToken
	// repeatable is the route's setting, unless the caller's options override it.
	repeatable bool
	body       *replayableBody
	// account is the request's part of the process's budget for callers. It may be nil.
	account *conns.Account
	// bodyRef is body, for the goroutine that ends the exchange of a caller who holds too much.
	bodyRef atomic.Pointer[replayableBody]
	headers []*wire.Header
	plan    retry.Plan
	tried   []string
	// succeeded reports that the caller was sent a response with a status below
	// 500.
	succeeded bool
	// noWait asks a sidecar without a free slot to refuse at once instead of
	// queueing the attempt.
	noWait bool
	// noneAvailable reports that every sidecar is expected to refuse the request.
	// The attempt may then go to a backend server that is considered unhealthy.
	noneAvailable bool
	// noBackend reports that the last sidecar had no backend server for the
	// service, or that it was leaving.
	noBackend bool
	// committed reports that the header of the response was sent to the caller.
	committed bool
	// race holds the attempts that are running now.
	race race
	// claim is the claim on the request's idempotency key. It is nil if the
	// request has none.
	claim *keys.Claim
	// pauses holds the pause that each sidecar named which has refused the request.
	pauses []time.Duration
	// lastFailure is why the last attempt failed.
	lastFailure failureInfo
	// fallback is the last 5xx response of a backend server. The caller gets it
	// if no other attempt does better.
	fallback *response
	// retryShare is the probability that the request is a consequence of a retry.
	retryShare float64
	// serviceTime is how long the backend server took to answer.
	serviceTime time.Duration
}

// serve handles the request up to its outcome.
func (x *exchange) serve() {
	defer func() { x.account.Close() }()
	if !x.accept() {
		return
	}
	if x.organisation != nil {
		x.server.usage.begin(x.organisation.Name)
		defer x.server.usage.end(x.organisation.Name)
	}
	if x.isLocalCall() {
		x.server.nestedInFlight.Add(1)
		defer x.server.nestedInFlight.Add(-1)
		if share := x.server.config.LocalRetryShare; share != nil {
			x.retryShare = share()
		}
	}
	ctx, cancel := context.WithCancel(x.request.Context())
	defer cancel()
	x.body = newReplayableBody(x)
	x.bodyRef.Store(x.body)
	defer x.body.close()
	if x.repeatable || x.options.Key == "" || x.server.config.Keys == nil {
		x.run(ctx)
		return
	}
	x.runKeyed(ctx)
}

// run makes attempts until the request has an outcome, and sends it to the
// caller.
func (x *exchange) run(ctx context.Context) {
	for {
		sidecar, found := x.nextSidecar(ctx)
		if !found {
			x.respond()
			return
		}
		result := x.makeAttempt(ctx, sidecar)
		if result.outcome == retry.Answered {
			x.recordAnswered()
			return
		}
		if ctx.Err() != nil {
			x.abandon()
			return
		}
		x.lastFailure = result.failure
		if result.outcome == retry.Refused {
			x.pauses = append(x.pauses, result.pause)
		}
		if result.fallback != nil {
			x.fallback = result.fallback
		}
		x.noBackend = result.noBackend
		step := x.nextStep()
		stopping := x.isStopped() || !x.now().Before(x.startBy())
		if step != retry.TryAgain || stopping || !x.body.rewind() {
			x.respond()
			return
		}
		x.server.config.Meter.Retries.Inc(1)
	}
}

// makeAttempt makes one attempt, which is hedged if the service is configured for
// it.
func (x *exchange) makeAttempt(ctx context.Context, sidecar route.Sidecar) result {
	if x.mayHedge() {
		return x.makeHedged(ctx, sidecar)
	}
	return x.attempt(ctx, sidecar, x.noWait, false)
}

// nextSidecar picks the sidecar for the next attempt. It repeats the directory
// lookup if the last sidecar had no backend server or if no untried sidecar is
// left. If there is still none, it waits for repickPause and then allows the
// sidecars that were already tried.
func (x *exchange) nextSidecar(ctx context.Context) (route.Sidecar, bool) {
	if x.server.config.NoWaitTries > 0 {
		return x.nextAvailable(ctx)
	}
	if x.noBackend {
		x.server.findSidecars(ctx, x.match.Entry.Name)
	}
	sidecar, found := x.pick()
	if found {
		return sidecar, true
	}
	if !x.noBackend {
		x.server.findSidecars(ctx, x.match.Entry.Name)
	}
	if sidecar, found = x.pick(); found {
		return sidecar, true
	}
	x.tried = x.tried[:0]
	select {
	case <-x.server.config.Clock.After(repickPause):
	case <-ctx.Done():
	}
	return x.pick()
}

// nextAvailable first picks sidecars that are to serve the request without
// queueing it, then sidecars that may queue it. If every sidecar is expected to
// refuse, it picks from all of them and sets noneAvailable.
func (x *exchange) nextAvailable(ctx context.Context) (route.Sidecar, bool) {
	x.noWait = x.noWait && x.plan.Refused() < maxNoWaitFactor*x.server.config.NoWaitTries
	for range 2 {
		sidecar, found, available := x.pickAvailable()
		if found {
			return sidecar, true
		}
		if !available {
			x.noneAvailable = true
			return x.pickAny(ctx)
		}
		hadNoWait := x.noWait
		x.noWait = false
		x.tried = x.tried[:0]
		if hadNoWait {
			continue
		}
		select {
		case <-x.server.config.Clock.After(repickPause):
		case <-ctx.Done():
			return route.Sidecar{}, false
		}
	}
	return x.pick()
}

// pickAny picks from all sidecars. If none is known, it waits up to
// maxDiscoveryWait, but at most half of the time to the deadline.
func (x *exchange) pickAny(ctx context.Context) (route.Sidecar, bool) {
	until := x.arrived.Add(min(maxDiscoveryWait, x.answerBy().Sub(x.arrived)/2))
	for {
		if sidecar, found := x.pick(); found || len(x.tried) > 0 || !x.now().Before(until) {
			return sidecar, found
		}
		select {
		case <-x.server.config.Clock.After(repickPause):
		case <-ctx.Done():
			return route.Sidecar{}, false
		}
	}
}

// pickAvailable picks among the sidecars that are expected to accept the request.
// The result available reports whether there is any such sidecar, including those
// already tried.
func (x *exchange) pickAvailable() (sidecar route.Sidecar, found, available bool) {
	x.server.withService(x.match.Entry.Name, func(t eval.Context, svc *service) {
		x.describe(svc)
		sidecar, found, available = svc.picker.PickAvailable(t, x.tried, x.mayUseTrial())
		if found && x.noWait && x.plan.Refused() >= x.server.config.NoWaitTries && !svc.picker.LikelyFree(t, sidecar.Address) {
			found = false
		}
	})
	if found {
		x.tried = append(x.tried, sidecar.Address)
	}
	return sidecar, found, available
}

// nextStep decides what follows an attempt. It may spend from the service's retry
// budget, which the server's mutex guards.
func (x *exchange) nextStep() retry.Step {
	var step retry.Step
	x.server.withService(x.match.Entry.Name, func(t eval.Context, _ *service) { step = x.plan.Next(t.Now) })
	return step
}

// recordAnswered updates the metrics of answered requests.
func (x *exchange) recordAnswered() {
	m := x.server.config.Meter
	m.Answered.Inc(1)
	took := x.now().Sub(x.arrived)
	m.Latency.RecordDuration(took)
	m.AddedLatency.RecordDuration(max(0, took-x.serviceTime))
}

// respond sends the outcome to the caller: a backend server's failed response if
// there is one, otherwise a problem document.
func (x *exchange) respond() {
	if x.fallback != nil {
		x.logPassedFailure(x.fallback, x.plan.GiveUpReason())
		if err := x.fallback.finish(x.fallback.trailers); err == nil {
			x.recordAnswered()
		}
		return
	}
	failure := x.lastFailure
	if failure.status == 0 {
		failure = failureInfo{step: "route", detail: "no backend server can take the request now"}
	}
	if failure.status != http.StatusRequestEntityTooLarge {
		// This also holds after the deadline. A 504 would not tell the caller that the request
		// may be sent again.
		failure.status = http.StatusServiceUnavailable
		failure.retryAfter = x.retryAfter()
	}
	x.notRun(failure)
}

// retryAfter returns when a request that was refused may come again: not before one of
// the sidecars that refused it expects to accept such requests.
func (x *exchange) retryAfter() time.Duration {
	if len(x.pauses) == 0 {
		return overloadRetryAfter
	}
	return max(overloadRetryAfter, slices.Min(x.pauses))
}

// logPassedFailure logs that a backend server's failed response is passed on to
// the caller, and the reason why no further attempt is made.
func (x *exchange) logPassedFailure(failure *response, reason string) {
	events.Emit(x.server.config.Log, events.FailurePassed, "request", x.options.ID, "service", x.service(),
		"status", failure.head.Status, "attempts", x.plan.Attempts(), "refused", x.plan.Refused(),
		"most", x.plan.MaxAttempts, "reason", reason, "last", x.lastFailure.detail, "peer", x.lastFailure.peer,
		"took", x.now().Sub(x.arrived).String(), "cut-by-stop", x.isCutByStop())
}

// abandon ends the exchange of a caller that has disconnected. The response is
// usually not received. It is written for the log, and for a caller that only
// appears to have disconnected.
func (x *exchange) abandon() {
	x.notRun(failureInfo{status: http.StatusServiceUnavailable, step: "caller", detail: "the caller went away"})
}

func (x *exchange) pick() (route.Sidecar, bool) {
	return x.pickFor(x.mayUseTrial())
}

// pickWithoutTrial picks a sidecar that has backend servers not on trial, if
// there is one. Hedges use it.
func (x *exchange) pickWithoutTrial() (route.Sidecar, bool) {
	return x.pickFor(false)
}

func (x *exchange) pickFor(mayUseTrial bool) (route.Sidecar, bool) {
	var sidecar route.Sidecar
	found := false
	x.server.withService(x.match.Entry.Name, func(t eval.Context, svc *service) {
		x.describe(svc)
		sidecar, found = svc.picker.Pick(t, x.tried, mayUseTrial)
	})
	if found {
		x.tried = append(x.tried, sidecar.Address)
	}
	return sidecar, found
}

// mayUseTrial reports whether the request may go to a backend server on trial. It
// must be repeatable, and no backend server may have received it before.
func (x *exchange) mayUseTrial() bool {
	return x.repeatable && !x.plan.IsRetry()
}

// pathTimeouts returns the timeouts for unresponsive paths that apply to this
// request.
func (x *exchange) pathTimeouts() PathTimeouts {
	return x.server.config.PathTimeouts.forTarget(x.match.TargetLatency)
}

func (x *exchange) now() time.Time {
	return x.server.config.Clock.Now()
}

// errPathSilent is the cause that cancels an attempt whose path did not answer a
// ping.
var errPathSilent = errors.New("front: path does not answer pings")
