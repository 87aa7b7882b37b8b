package front

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/link"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/health"
	"github.com/figwick/figwick/internal/policy/retry"
	"github.com/figwick/figwick/internal/policy/route"
)

const (
	// openTimeout bounds the opening of a stream, including the dial.
	openTimeout = time.Second
	// probeAfter is how long an attempt may run before its path is probed.
	probeAfter = 500 * time.Millisecond
	// eagerBytes is the largest body that is sent to another availability zone
	// together with the request head, before the sidecar has accepted the
	// attempt.
	eagerBytes = 512
	// pingTimeout bounds the reply to a ping.
	pingTimeout = time.Second
)

type (
	// result is the result of an attempt.
	result struct {
		// noBackend reports that the sidecar had no backend server for the
		// service, or that it was leaving.
		noBackend bool
		outcome   retry.Outcome
		failure   failureInfo
		// fallback is a backend server's 5xx response. The caller gets it if no
		// other attempt does better.
		fallback *response
		// pause is how long the sidecar that refused expects to go on refusing.
		pause time.Duration
	}

	// attempt is one attempt on its stream to a sidecar.
	attempt struct {
		x       *exchange
		id      ident.Attempt
		sidecar route.Sidecar
		stream  *link.Stream
		// stamp is the last moment at which the sidecar may start the attempt, by
		// the sidecar's clock.
		stamp  *wire.Stamp
		ctx    context.Context
		cancel context.CancelCauseFunc
		// started is closed when the sidecar has started the attempt. hasStarted
		// reports the same to the receiving goroutine.
		started    chan struct{}
		hasStarted bool
		// received reports that the sidecar has sent a frame.
		received bool
		// bodySent reports that the whole body of the request has been sent.
		bodySent atomic.Bool
		// response is the backend server's response, once its header was
		// received.
		response *response
		// receivedBytes is how much of the response's body has come.
		receivedBytes int
		// noWait asks the sidecar to refuse the attempt instead of queueing it.
		noWait bool
		// hedge reports that the attempt runs beside an earlier one.
		hedge bool
		// phase is one of the phases below.
		phase  atomic.Int32
		sentAt time.Time
	}
)

// The phases of an attempt. It leaves the first one once.
const (
	// attemptOpen may be ended, since its caller has received no part of a response.
	attemptOpen int32 = iota
	// attemptPassing passes an incomplete response on to the caller.
	attemptPassing
	// attemptEnded was ended by the deadline or by the stop of this process.
	attemptEnded
)

// attempt makes one attempt at a sidecar and records how it has ended.
func (x *exchange) attempt(ctx context.Context, sidecar route.Sidecar, noWait, hedge bool) result {
	x.plan.Begin()
	r := x.runOnStream(ctx, sidecar, noWait, hedge)
	x.plan.End(r.outcome)
	return r
}

// runOnStream makes an attempt on a stream to a sidecar. If the attempt must not repeat and its
// response is lost, it asks the sidecar for the attempt's fate.
func (x *exchange) runOnStream(ctx context.Context, sidecar route.Sidecar, noWait, hedge bool) result {
	name := x.match.Entry.Name
	x.recordSent(sidecar.Address, sidecar.Zone != x.server.config.Zone)
	a, err := x.openAttempt(ctx, sidecar)
	if err != nil {
		x.server.withService(name, func(t eval.Context, svc *service) { svc.picker.Unreachable(t, sidecar.Address) })
		return a.failed(retry.Unreached, "connect", err)
	}
	a.noWait, a.hedge = noWait, hedge
	x.race.add(a)
	defer x.race.remove(a)
	defer a.cancel(nil)
	defer a.stream.Release()
	defer a.stream.Close()
	stop := context.AfterFunc(a.ctx, a.stream.Cancel)
	defer stop()
	r := a.run()
	if r.outcome == retry.Lost && !x.repeatable && ctx.Err() == nil && x.now().Before(x.answerBy()) {
		r = a.resolveFate(ctx, r)
	}
	return r
}

// openAttempt opens a stream for an attempt. The attempt is not nil even if the
// stream cannot be opened.
func (x *exchange) openAttempt(ctx context.Context, sidecar route.Sidecar) (*attempt, error) {
	a := &attempt{
		x:       x,
		id:      ident.NewAttempt(),
		sidecar: sidecar,
		started: make(chan struct{}),
	}
	openCtx, cancel := context.WithTimeout(ctx, min(x.server.config.PathTimeouts.Open, x.answerBy().Sub(x.now())))
	defer cancel()
	stream, err := x.server.config.Links.Open(openCtx, sidecar.Address)
	if err != nil {
		return a, err
	}
	if err := x.checkPath(openCtx, stream); err != nil {
		stream.Cancel()
		stream.Release()
		return a, err
	}
	a.stream = stream
	a.sentAt = x.now()
	a.stamp = stream.PeerClock.Stamp(a.sentAt, x.startBy().Sub(a.sentAt))
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a, nil
}

// run sends the request and receives the response.
func (a *attempt) run() result {
	if err := a.stream.Send(wire.KindRequestHead, a.head()); err != nil {
		r := a.lost("send", err)
		if link.IsUnsent(err) {
			r.outcome = retry.Unreached
		}
		return r
	}
	if a.x.body.length != 0 {
		a.stream.Retain()
		go a.sendBody(a.x.body.beginEpoch())
	}
	stopWatch := a.watch()
	defer stopWatch()
	return a.receive()
}

func (a *attempt) head() *wire.RequestHead {
	x := a.x
	r := x.request
	left := x.answerBy().Sub(a.sentAt)
	head := &wire.RequestHead{
		Attempt:       string(a.id),
		Service:       string(x.match.Entry.Name),
		Stamp:         a.stamp,
		TimeoutMs:     int64((left + time.Millisecond - 1) / time.Millisecond),
		Repeatable:    x.repeatable,
		Method:        r.Method,
		Target:        []byte(r.RequestURI),
		Host:          r.Host,
		Headers:       x.headers,
		ContentLength: x.body.length,
		LastResort:    x.lastResort(),
		Direct:        a.noWait,
		Again:         a.hedge || x.plan.IsRetry(),
		Request:       []byte(x.options.ID),
		Route:         x.match.Route,
		Revision:      uint64(x.server.Table().Revision),
		Level:         x.baseline(a.sidecar.Address),
		Origin:        string(x.server.config.Origin),
		Priority:      uint32(x.match.Priority),
		Departed:      x.departedAt(a.sidecar.Address),
		RetryShare:    x.retryShare,
		Organisation:  x.organisationName(),
	}
	if x.match.TargetLatency > 0 {
		head.TargetMs = max(1, (x.match.TargetLatency - a.sentAt.Sub(x.arrived)).Milliseconds())
	}
	for name := range r.Trailer {
		if !x.isWithheld(name) {
			head.TrailerNames = append(head.TrailerNames, name)
		}
	}
	return head
}

// lastResort reports whether the attempt may go to a backend server that is
// considered unhealthy.
func (x *exchange) lastResort() bool {
	if x.server.config.NoWaitTries == 0 {
		return x.plan.IsLastAttempt()
	}
	return x.noneAvailable
}

// baseline returns the latency and failure rate of the service behind the other
// sidecars, or nil if nothing is known. The sidecar compares its own backend
// servers with it.
func (x *exchange) baseline(except string) *wire.Level {
	var baseline health.Baseline
	x.server.withService(x.match.Entry.Name, func(t eval.Context, svc *service) {
		baseline = svc.survey.Baseline(t.Now, except)
	})
	if baseline.Weight == 0 {
		return nil
	}
	return &wire.Level{Mean: baseline.Mean, Spread: baseline.Spread, Failure: baseline.FailureRate, Weight: baseline.Weight}
}

// sendBody sends the request's body. A part of the body that could not be sent
// again, or a body for another availability zone larger than eagerBytes, is sent
// only after the attempt has started: a refusal would lose or waste it.
func (a *attempt) sendBody(epoch int) {
	defer a.stream.Release()
	eager := !a.leavesZone() || a.x.body.length > 0 && a.x.body.length <= eagerBytes
	for {
		if !eager || !a.x.body.fitsPrefix(wire.MaxBodyFrameBytes) {
			select {
			case <-a.started:
			case <-a.ctx.Done():
				return
			}
		}
		n, err := a.x.body.read(epoch, a.stream.BodyBuffer())
		if n > 0 {
			if a.stream.SendBody(n) != nil {
				return
			}
			a.countSent(n)
		}
		if errors.Is(err, io.EOF) {
			err = a.stream.Send(wire.KindEnd, &wire.End{Trailers: a.x.forwardedTrailers()})
			a.bodySent.Store(err == nil)
			return
		}
		if errors.Is(err, errAnswering) {
			return
		}
		if err != nil {
			a.cancel(err)
			return
		}
	}
}

// acknowledge tells the sidecar that the response has arrived, unless a part of the request's body is still being
// sent. That may wait for a sidecar that reads no more, and nothing can be sent behind it.
func (a *attempt) acknowledge() {
	if a.x.body.length == 0 || a.bodySent.Load() {
		_ = a.stream.Send(wire.KindDone, &wire.End{})
	}
}

// watch probes the path of an attempt that has not ended after ProbeAfter, to
// detect before the deadline that the path drops messages. It also ends the
// attempt at the deadline. The returned function stops both timers.
func (a *attempt) watch() func() {
	clock := a.x.server.config.Clock
	probeTimer := clock.AfterFunc(a.x.pathTimeouts().ProbeAfter, func() { a.probe() })
	deadlineTimer := clock.AfterFunc(a.x.deadline.Sub(a.sentAt), func() { a.onDeadline() })
	stopped := context.AfterFunc(a.x.stopSignal(), a.onStop)
	return func() {
		stopped()
		probeTimer.Stop()
		deadlineTimer.Stop()
	}
}

// onDeadline ends an attempt at the deadline. An attempt that passes a response on then goes on if
// the deadline is only for the head: the sidecar watches the rest of the body.
func (a *attempt) onDeadline() {
	a.end(context.DeadlineExceeded)
	if a.x.match.WholeInTime {
		a.cancel(context.DeadlineExceeded)
	}
}

// end ends an attempt that is open, for the given cause.
func (a *attempt) end(cause error) {
	if a.phase.CompareAndSwap(attemptOpen, attemptEnded) {
		a.cancel(cause)
	}
}

// beginPassing reports whether an incomplete response may be passed on. The attempt
// cannot be ended any more after that.
func (a *attempt) beginPassing() bool {
	return a.phase.CompareAndSwap(attemptOpen, attemptPassing) || a.phase.Load() == attemptPassing
}

// lost ends an attempt that may or may not have been run.
func (a *attempt) lost(step string, err error) result {
	return a.failed(retry.Lost, step, a.recordLost(err))
}

// recordLost records for the picker that an attempt has no whole response, and returns the cause. The
// path counts as failed unless the attempt was canceled, its caller's body failed, its deadline
// passed or another attempt won.
func (a *attempt) recordLost(err error) error {
	if cause := context.Cause(a.ctx); cause != nil {
		err = cause
	}
	name := a.x.match.Entry.Name
	a.x.server.withService(name, func(t eval.Context, svc *service) {
		if errors.Is(err, context.Canceled) || errors.Is(err, errCallerBody) || errors.Is(err, context.DeadlineExceeded) ||
			errors.Is(err, errHedged) || errors.Is(err, errStopping) {
			svc.picker.Canceled(a.sidecar.Address)
			return
		}
		svc.picker.Unreachable(t, a.sidecar.Address)
	})
	if errors.Is(err, errPathSilent) {
		a.x.server.config.Links.Drop(a.sidecar.Address)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		err = errors.New("no answer within the deadline")
	}
	return err
}

func (a *attempt) failed(outcome retry.Outcome, step string, err error) result {
	return result{outcome: outcome, failure: failureInfo{
		status: http.StatusServiceUnavailable,
		step:   step,
		peer:   a.sidecar.Address,
		detail: err.Error(),
	}}
}

// recordResponse updates the picker, the survey and the peer's clock offset after
// the backend server has answered or failed.
func (a *attempt) recordResponse(load *wire.Load, failed bool) {
	serviceTime := time.Duration(load.GetServiceUs()) * time.Microsecond
	if a.response != nil {
		a.x.serviceTime = serviceTime
	}
	now := a.x.now()
	a.observeClock(load, now)
	a.x.server.withService(a.x.match.Entry.Name, func(t eval.Context, svc *service) {
		svc.picker.Answered(t, a.sidecar.Address, reportedLoad(load), now.Sub(a.sentAt))
		svc.observeLatency(now.Sub(a.sentAt))
		svc.observeBytes(a.receivedBytes)
		svc.setNested(a.x.match.Route, load.GetNested())
		svc.survey.Observe(t.Now, a.sidecar.Address, health.ScaleToTarget(serviceTime, a.x.match.TargetLatency), failed)
	})
}

func (a *attempt) observeClock(load *wire.Load, now time.Time) {
	if load != nil {
		a.stream.PeerClock.Observe(a.stream.Peer.Instance, time.Duration(load.ClockNs), now)
	}
}

func reportedLoad(load *wire.Load) route.ReportedLoad {
	return route.ReportedLoad{
		Slots:  int(load.GetSlots()),
		Free:   int(load.GetFree()),
		Queued: int(load.GetQueued()),
		Mean:   time.Duration(load.GetMeanUs()) * time.Microsecond,
	}
}
