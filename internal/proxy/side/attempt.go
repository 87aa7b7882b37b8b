package side

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/desk"
	"github.com/figwick/figwick/internal/policy/fence"
	"github.com/figwick/figwick/internal/policy/health"
	"github.com/figwick/figwick/internal/proxy/back"
)

// mostTimeout bounds the time left that an attempt may claim.
const mostTimeout = time.Hour

var (
	errDeadline = errors.New("side: deadline passed")

	reasons = map[desk.Reason]wire.Reason{
		desk.Busy:      wire.Reason_REASON_BUSY,
		desk.Late:      wire.Reason_REASON_LATE,
		desk.Fenced:    wire.Reason_REASON_FENCED,
		desk.Duplicate: wire.Reason_REASON_DUPLICATE,
		desk.NoBackend: wire.Reason_REASON_NO_BACKEND,
		desk.Leaving:   wire.Reason_REASON_LEAVING,
		desk.Hopeless:  wire.Reason_REASON_BUSY,
		desk.Resting:   wire.Reason_REASON_BUSY,
		desk.Spent:     wire.Reason_REASON_BUDGET,
	}
)

// attempt is one attempt on its way through the sidecar.
type attempt struct {
	server  *Server
	head    *wire.RequestHead
	id      ident.Attempt
	service ident.Service
	conn    *wire.Conn
	sending sync.Mutex
	body    *intake
	// began is when the backend server had the whole request, in nanoseconds.
	began    atomic.Int64
	deadline time.Time
	timer    clockwork.Timer
	cancel   context.CancelCauseFunc
	// gone tells that the ingress no longer listens.
	gone atomic.Bool
	took time.Duration
}

// Attempt serves one attempt on a stream whose RequestHead was received.
func (s *Server) Attempt(ctx context.Context, conn *wire.Conn, head *wire.RequestHead) {
	now := s.config.Clock.Now()
	left := min(time.Duration(head.TimeoutMs)*time.Millisecond, mostTimeout)
	a := &attempt{
		server:   s,
		head:     head,
		id:       ident.Attempt(head.Attempt),
		service:  ident.Service(head.Service),
		conn:     conn,
		deadline: now.Add(left),
	}
	if reason, detail := s.check(head); reason != 0 {
		a.refuse(&wire.Refusal{Reason: reason, Detail: detail})
		return
	}
	ctx, a.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	defer a.cancel(nil)
	a.body = newIntake(conn, head.ContentLength == 0, a.lost)
	a.body.done = func() { s.Release(a.id) }
	a.body.read = a.sent
	conn.Retain()
	go a.body.run()
	v, granted := a.wait(ctx)
	if !granted {
		return
	}
	s.track(a.id, v.server)
	defer s.untrack(a.id)
	a.run(ctx, v)
}

func (s *Server) check(head *wire.RequestHead) (wire.Reason, string) {
	if head.Stamp == nil || head.Attempt == "" || head.Method == "" {
		return wire.Reason_REASON_INVALID, "incomplete request head"
	}
	if ident.Instance(head.Stamp.Instance) != s.config.Instance {
		return wire.Reason_REASON_INSTANCE, "stamped for another run of this node"
	}
	return 0, ""
}

func (s *Server) moment(stamp *wire.Stamp) time.Time {
	return s.config.Started.Add(time.Duration(stamp.StartBeforeNs))
}

// lost notes that the ingress went away. A repeatable attempt ends there; one
// that must not repeat goes on, so that its fate is certain.
func (a *attempt) lost() {
	a.gone.Store(true)
	a.server.Do(func(_ turn.Turn, d *desk.Desk) desk.Ops {
		d.Cancel(a.id)
		return desk.Ops{}
	})
	a.server.abandon(a.id)
	if a.head.Repeatable {
		a.cancel(errLost)
	}
}

// wait asks for a slot and waits until there is one, or tells the ingress why
// not.
func (a *attempt) wait(ctx context.Context) (verdict, bool) {
	s := a.server
	s.mutex.Lock()
	t := s.turn()
	if level := a.head.Level; level != nil {
		s.config.Desk.Hear(a.service, health.Baseline{
			Mean: level.Mean, Spread: level.Spread, FailureRate: level.Failure, Weight: level.Weight,
		})
	}
	decision := s.config.Desk.Admit(t, desk.Attempt{
		ID:          a.id,
		Service:     a.service,
		Repeatable:  a.head.Repeatable,
		LastResort:  a.head.LastResort,
		HasBody:     a.head.ContentLength != 0,
		StartBefore: s.moment(a.head.Stamp),
		Deadline:    a.deadline,
		Target:      time.Duration(a.head.TargetMs) * time.Millisecond,
		Priority:    int(a.head.Priority),
		Direct:      a.head.Direct,
		Again:       a.head.Again,
	})
	var ready chan verdict
	if decision.Kind == desk.Waiting {
		ready = make(chan verdict, 1)
		s.waiting[a.id] = ready
	}
	s.mutex.Unlock()
	switch decision.Kind {
	case desk.Granted:
		return verdict{granted: true, server: decision.Server.Address, id: decision.Server.ID}, true
	case desk.Refused:
		a.refuse(&wire.Refusal{
			Reason: reasons[decision.Reason], Detail: decision.Reason.String(), PauseMs: decision.Pause.Milliseconds(),
		})
		return verdict{}, false
	}
	select {
	case v := <-ready:
		if !v.granted {
			a.refuse(&wire.Refusal{Reason: reasons[v.reason], Detail: v.reason.String()})
		}
		return v, v.granted
	case <-ctx.Done():
		return verdict{}, false
	}
}

// abandon ends the waiting of an attempt whose ingress went away.
func (s *Server) abandon(id ident.Attempt) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.wake(id, verdict{reason: desk.Late})
}

// run sends the request to its backend server and the answer back.
func (a *attempt) run(ctx context.Context, v verdict) {
	now := a.server.config.Clock.Now()
	a.began.Store(now.UnixNano())
	a.timer = a.server.config.Clock.AfterFunc(a.deadline.Sub(now), func() { a.cancel(errDeadline) })
	defer a.timer.Stop()
	if !a.body.whole() {
		_ = a.send(wire.KindStarted, &wire.Started{BackendServer: string(v.id)})
	}
	response, err := a.server.pool.Do(ctx, v.server, a.request(ctx, v), back.Options{Early: a.informational})
	a.took = a.server.config.Clock.Since(time.Unix(0, a.began.Load()))
	if err != nil {
		a.broke(ctx, err)
		return
	}
	defer response.Body.Close()
	a.server.Look(func(_ turn.Turn, d *desk.Desk) { d.Headed(a.id) })
	a.timer.Stop()
	a.answer(ctx, response)
}

// sent notes that the backend server has the whole body: its own time starts.
func (a *attempt) sent() {
	a.began.Store(a.server.config.Clock.Now().UnixNano())
	a.server.Look(func(t turn.Turn, d *desk.Desk) { d.Sent(t, a.id) })
}

// broke ends an attempt that has no answer.
func (a *attempt) broke(ctx context.Context, err error) {
	if errors.Is(err, back.ErrUnsent) {
		r := health.Result{Outcome: a.verdict(outcomeOf(ctx)), Took: a.took}
		a.server.Do(func(t turn.Turn, d *desk.Desk) desk.Ops { return d.Unstarted(t, a.id, r) })
		a.refuse(&wire.Refusal{Reason: wire.Reason_REASON_CONNECT, Detail: "nothing reached the backend server"})
		return
	}
	a.finish(outcomeOf(ctx), nil)
	a.fail("request", err)
}

func outcomeOf(ctx context.Context) health.Outcome {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDeadline):
		return health.TimedOut
	case errors.Is(cause, errLost):
		return health.Canceled
	default:
		return health.Failed
	}
}

// verdict is what an outcome says of the backend server: what it makes of a body
// that broke off, or of a call of its own that failed, says nothing.
func (a *attempt) verdict(o health.Outcome) health.Outcome {
	if a.body.broken() || o != health.OK && a.server.excused.Load() > a.began.Load() {
		return health.Canceled
	}
	return o
}

func (a *attempt) finish(o health.Outcome, answer *fence.Answer) {
	s := a.server
	o = a.verdict(o)
	a.reportFailure(o)
	s.Do(func(t turn.Turn, d *desk.Desk) desk.Ops {
		return d.Finish(t, a.id, health.Result{Outcome: o, Took: a.took}, answer)
	})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, told := range s.fated[a.id] {
		close(told)
	}
	delete(s.fated, a.id)
}

// reportFailure logs an attempt that its backend server failed, with how that
// server was judged when the failure came.
func (a *attempt) reportFailure(o health.Outcome) {
	if o != health.Failed && o != health.TimedOut {
		return
	}
	standing := ""
	a.server.Look(func(_ turn.Turn, d *desk.Desk) { standing = d.Standing(a.id) })
	events.Emit(a.server.config.Log, events.AttemptFailed, "request", a.head.Request, "attempt", string(a.id), "service", string(a.service),
		"standing", standing, "hung", o == health.TimedOut, "repeatable", a.head.Repeatable, "took", a.took.String())
}

// request is what the backend server gets.
func (a *attempt) request(ctx context.Context, v verdict) *http.Request {
	r := &http.Request{
		Method:        a.head.Method,
		URL:           target(a.head.Target, v.server),
		Host:          a.head.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        wire.ToHeader(a.head.Headers),
		ContentLength: a.head.ContentLength,
	}
	if _, set := r.Header["User-Agent"]; !set {
		r.Header["User-Agent"] = []string{""}
	}
	a.server.config.Dialect.Ask(r.Header, Order{
		Server: v.id, Left: a.deadline.Sub(a.server.config.Clock.Now()), Origin: ident.Service(a.head.Origin),
	})
	r.Body = http.NoBody
	if r.ContentLength != 0 {
		r.Body = a.body
	}
	if len(a.head.TrailerNames) > 0 {
		r.Trailer = http.Header{}
		for _, name := range a.head.TrailerNames {
			r.Trailer[name] = nil
		}
		r.Body = &trailing{intake: a.body, trailer: r.Trailer}
	}
	return r.WithContext(ctx)
}

// target keeps the request's target byte for byte.
func target(raw, host string) *url.URL {
	path, query, _ := strings.Cut(raw, "?")
	u := &url.URL{Scheme: "http", Host: host, RawQuery: query, ForceQuery: strings.HasSuffix(raw, "?")}
	if strings.HasPrefix(path, "//") {
		u.Path = path
		if decoded, err := url.PathUnescape(path); err == nil {
			u.Path, u.RawPath = decoded, path
		}
		return u
	}
	u.Opaque = path
	return u
}

func (a *attempt) informational(status int, header http.Header) error {
	if status == http.StatusContinue {
		return nil
	}
	return a.send(wire.KindInformational, &wire.Informational{
		Status:  int32(status),
		Headers: wire.FromHeader(header),
	})
}

// trailing sets the request's trailers once its body has been read.
type trailing struct {
	*intake
	trailer http.Header
}

// Read returns the body as it comes.
func (t *trailing) Read(p []byte) (int, error) {
	n, err := t.intake.Read(p)
	if errors.Is(err, io.EOF) {
		for name := range t.trailer {
			t.trailer[name] = t.intake.trailer[name]
		}
	}
	return n, err
}
