package front

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/peer/link"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/health"
	"github.com/figwick/figwick/internal/policy/retry"
	"github.com/figwick/figwick/internal/policy/route"
)

const (
	// openTimeout bounds the opening of a stream, a dial included.
	openTimeout = time.Second
	// patience is how long an attempt may be silent before its path is tried.
	patience = 500 * time.Millisecond
	// eagerBytes is the largest body that goes to another availability zone
	// together with its head.
	eagerBytes = 512
	// pingTimeout bounds the sign of life that a silent path must give.
	pingTimeout = time.Second
)

type (
	// result is what an attempt came to.
	result struct {
		answered bool
		// moved tells that the sidecar has no backend server for the service.
		moved   bool
		outcome retry.Outcome
		trouble trouble
		// fallback is a backend server's failure, told to the caller if nothing
		// better comes.
		fallback *answer
	}

	// attempt is one attempt on its stream to a sidecar.
	attempt struct {
		x       *exchange
		id      ident.Attempt
		sidecar route.Sidecar
		stream  *link.Stream
		stamp   *wire.Stamp
		ctx     context.Context
		cancel  context.CancelCauseFunc
		started chan struct{}
		begun   bool
		reply   *answer
		// direct tells that the sidecar is to refuse rather than let it wait.
		direct bool
		// hedge tells that it runs beside an earlier attempt.
		hedge bool
		// headed tells that the head of an answer has come.
		headed atomic.Bool
		sent   time.Time
	}
)

// attempt makes one attempt at a sidecar.
func (x *exchange) attempt(ctx context.Context, sidecar route.Sidecar, direct, hedge bool) result {
	name := x.match.Entry.Name
	x.server.with(name, func(_ turn.Turn, l *lane) { l.picker.Sent(sidecar.Address) })
	a, err := x.open(ctx, sidecar)
	if err != nil {
		x.server.with(name, func(t turn.Turn, l *lane) { l.picker.Unreachable(t, sidecar.Address) })
		return a.failed(retry.Unreached, "connect", err)
	}
	a.direct, a.hedge = direct, hedge
	x.race.enter(a)
	defer x.race.leave(a)
	defer a.cancel(nil)
	defer a.stream.Release()
	defer a.stream.Close()
	stop := context.AfterFunc(a.ctx, a.stream.Cancel)
	defer stop()
	r := a.exchange()
	if r.outcome == retry.Lost && !x.repeatable && ctx.Err() == nil && x.now().Before(x.deadline) {
		r = a.settle(ctx, r)
	}
	return r
}

func (x *exchange) open(ctx context.Context, sidecar route.Sidecar) (*attempt, error) {
	a := &attempt{
		x:       x,
		id:      ident.NewAttempt(),
		sidecar: sidecar,
		started: make(chan struct{}),
	}
	opening, done := context.WithTimeout(ctx, min(x.server.config.Path.Open, x.deadline.Sub(x.now())))
	defer done()
	stream, err := x.server.config.Links.Open(opening, sidecar.Address)
	if err != nil {
		return a, err
	}
	a.stream = stream
	a.sent = x.now()
	a.stamp = stream.Remote.Stamp(a.sent, x.deadline.Sub(a.sent))
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a, nil
}

// exchange sends the request and receives the answer.
func (a *attempt) exchange() result {
	if err := a.stream.Send(wire.KindRequestHead, a.head()); err != nil {
		return a.lost("send", err)
	}
	if a.x.body.length != 0 {
		a.stream.Retain()
		go a.sendBody(a.x.body.begin())
	}
	watch := a.watch()
	defer watch()
	return a.receive()
}

func (a *attempt) head() *wire.RequestHead {
	x := a.x
	r := x.request
	left := x.deadline.Sub(a.sent)
	head := &wire.RequestHead{
		Attempt:       string(a.id),
		Service:       string(x.match.Entry.Name),
		Stamp:         a.stamp,
		TimeoutMs:     int64((left + time.Millisecond - 1) / time.Millisecond),
		Repeatable:    x.repeatable,
		Method:        r.Method,
		Target:        r.RequestURI,
		Host:          r.Host,
		Headers:       x.headers,
		ContentLength: x.body.length,
		LastResort:    x.lastResort(),
		Direct:        a.direct,
		Again:         a.hedge || x.plan.Again(),
		Request:       x.ask.ID,
		Revision:      uint64(x.server.Table().Revision),
		Level:         x.level(a.sidecar.Address),
		Origin:        string(x.server.config.Origin),
		Priority:      uint32(x.match.Priority),
	}
	if x.match.Target > 0 {
		head.TargetMs = max(1, (x.match.Target - a.sent.Sub(x.arrived)).Milliseconds())
	}
	for name := range r.Trailer {
		head.TrailerNames = append(head.TrailerNames, name)
	}
	return head
}

// lastResort tells whether the attempt may go to a backend server that is held
// to be sick.
func (x *exchange) lastResort() bool {
	if x.server.config.DirectTries == 0 {
		return x.plan.LastTry()
	}
	return x.resort
}

func (x *exchange) level(except string) *wire.Level {
	var level health.Baseline
	x.server.with(x.match.Entry.Name, func(t turn.Turn, l *lane) {
		level = l.survey.Baseline(t.Now, except)
	})
	if level.Weight == 0 {
		return nil
	}
	return &wire.Level{Mean: level.Mean, Spread: level.Spread, Failure: level.FailureRate, Weight: level.Weight}
}

// sendBody sends the body; what can no longer be sent again, or would be wasted on
// a sidecar far away that refuses, only once the attempt has been started.
func (a *attempt) sendBody(epoch int) {
	defer a.stream.Release()
	eager := a.sidecar.Zone == a.x.server.config.Zone || a.x.body.length > 0 && a.x.body.length <= eagerBytes
	for {
		if !eager || !a.x.body.keeps(wire.BodyBytes) {
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
		}
		if errors.Is(err, io.EOF) {
			_ = a.stream.Send(wire.KindEnd, &wire.End{Trailers: wire.FromHeader(a.x.request.Trailer)})
			return
		}
		if err != nil {
			a.cancel(err)
			return
		}
	}
}

// watch tries the path of a silent attempt, so that a path which swallows
// messages is known before the deadline. It also ends the attempt at the
// deadline. The function it returns ends the watching.
func (a *attempt) watch() func() {
	clock := a.x.server.config.Clock
	quiet := clock.AfterFunc(a.x.path().Patience, func() { a.probe() })
	late := clock.AfterFunc(a.x.deadline.Sub(a.sent), func() { a.late() })
	return func() {
		quiet.Stop()
		late.Stop()
	}
}

// late ends an attempt whose answer has not begun by the deadline. One that has
// begun is a body under way, which the sidecar watches.
func (a *attempt) late() {
	if !a.headed.Load() {
		a.cancel(context.DeadlineExceeded)
	}
}

func (a *attempt) probe() {
	path := a.x.path()
	for a.ctx.Err() == nil {
		ctx, done := context.WithTimeout(a.ctx, path.Ping)
		err := a.stream.Ping(ctx)
		done()
		if a.ctx.Err() != nil {
			return
		}
		if err != nil {
			a.cancel(errPath)
			return
		}
		select {
		case <-a.ctx.Done():
			return
		case <-a.x.server.config.Clock.After(path.Patience):
		}
	}
}

// lost ends an attempt whose fate is not known.
func (a *attempt) lost(step string, err error) result {
	if cause := context.Cause(a.ctx); cause != nil {
		err = cause
	}
	name := a.x.match.Entry.Name
	a.x.server.with(name, func(t turn.Turn, l *lane) {
		if errors.Is(err, context.Canceled) || errors.Is(err, errCaller) || errors.Is(err, context.DeadlineExceeded) ||
			errors.Is(err, errHedged) {
			l.picker.Dropped(a.sidecar.Address)
			return
		}
		l.picker.Unreachable(t, a.sidecar.Address)
	})
	if errors.Is(err, errPath) {
		a.x.server.config.Links.Drop(a.sidecar.Address)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		err = errors.New("no answer within the deadline")
	}
	return a.failed(retry.Lost, step, err)
}

func (a *attempt) failed(o retry.Outcome, step string, err error) result {
	return result{outcome: o, trouble: trouble{
		status: http.StatusServiceUnavailable,
		step:   step,
		peer:   a.sidecar.Address,
		detail: err.Error(),
	}}
}

// answered tells the picker and the survey how the attempt went.
func (a *attempt) note(load *wire.Load, failed bool) {
	served := time.Duration(load.GetServiceUs()) * time.Microsecond
	if a.reply != nil {
		a.x.served = served
	}
	now := a.x.now()
	a.observe(load, now)
	a.x.server.with(a.x.match.Entry.Name, func(t turn.Turn, l *lane) {
		l.picker.Answered(t, a.sidecar.Address, told(load), now.Sub(a.sent))
		l.survey.Observe(t.Now, a.sidecar.Address, health.ScaleToTarget(served, a.x.match.Target), failed)
	})
}

func (a *attempt) observe(load *wire.Load, now time.Time) {
	if load != nil {
		a.stream.Remote.Observe(a.stream.Peer.Instance, time.Duration(load.ClockNs), now)
	}
}

func told(load *wire.Load) route.Told {
	return route.Told{
		Slots:  int(load.GetSlots()),
		Free:   int(load.GetFree()),
		Queued: int(load.GetQueued()),
	}
}
