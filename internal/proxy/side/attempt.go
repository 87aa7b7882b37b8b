package side

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/policy/fence"
	"github.com/figwick/figwick/internal/policy/health"
	"github.com/figwick/figwick/internal/policy/nested"
	"github.com/figwick/figwick/internal/proxy/back"
)

// maxTimeout bounds the timeout that a request head may carry.
const maxTimeout = time.Hour

var (
	errDeadline = errors.New("side: deadline passed")

	// reasons maps the controller's reasons for a refusal to those of the
	// protocol.
	reasons = map[admit.Reason]wire.Reason{
		admit.Busy:               wire.Reason_REASON_BUSY,
		admit.Late:               wire.Reason_REASON_LATE,
		admit.Fenced:             wire.Reason_REASON_FENCED,
		admit.Duplicate:          wire.Reason_REASON_DUPLICATE,
		admit.NoBackend:          wire.Reason_REASON_NO_BACKEND,
		admit.Leaving:            wire.Reason_REASON_LEAVING,
		admit.CannotMeetDeadline: wire.Reason_REASON_BUSY,
		admit.NoneEligible:       wire.Reason_REASON_BUSY,
		admit.RetryBudgetSpent:   wire.Reason_REASON_BUDGET,
	}
)

// attempt is one attempt that the sidecar handles.
type attempt struct {
	server    *Server
	head      *wire.RequestHead
	id        ident.Attempt
	service   ident.Service
	conn      *wire.Conn
	sendMutex sync.Mutex
	body      *requestBody
	// startedAt is when the backend server had received the whole request, in
	// nanoseconds since the Unix epoch. While the body is being sent it is when
	// the sending started.
	startedAt atomic.Int64
	deadline  time.Time
	// slot is set when the attempt has a slot.
	slot  slotResult
	timer clockwork.Timer
	// ctx ends with the attempt.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// ingressGone reports that the ingress has closed the stream or does not read
	// from it.
	ingressGone atomic.Bool
	// serviceTime is how long the backend server took until the header of its
	// response.
	serviceTime time.Duration
}

// HandleAttempt serves one attempt on a stream whose RequestHead was received. It
// blocks until the attempt has ended. Canceling ctx does not end the attempt.
func (s *Server) HandleAttempt(ctx context.Context, conn *wire.Conn, head *wire.RequestHead) {
	now := s.config.Clock.Now()
	left := min(time.Duration(head.TimeoutMs)*time.Millisecond, maxTimeout)
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
	a.ctx = ctx
	defer a.cancel(nil)
	a.body = newRequestBody(conn, head.ContentLength == 0, a.ingressLost)
	a.body.onAcknowledged = func() { s.Release(a.id) }
	a.body.onReadAll = a.bodySent
	conn.Retain()
	go a.body.receive()
	ended := false
	defer func() {
		if !ended {
			a.giveUp()
		}
	}()
	a.serve(ctx)
	ended = true
}

// serve waits for a slot and runs the attempt on it.
func (a *attempt) serve(ctx context.Context) {
	slot, granted := a.wait(ctx)
	if !granted {
		return
	}
	a.slot = slot
	a.server.track(a.id, slot.address)
	defer a.server.untrack(a.id)
	a.run(ctx, slot)
}

// giveUp frees the place in the queue or the slot of an attempt that ends by a panic. Whether
// it has run is not known.
func (a *attempt) giveUp() {
	a.server.stopWaiting(a.id)
	a.finish(health.Canceled, nil)
}

// check validates a request head. A reason of zero means that it is valid.
func (s *Server) check(head *wire.RequestHead) (wire.Reason, string) {
	if head.Stamp == nil || head.Attempt == "" || head.Method == "" {
		return wire.Reason_REASON_INVALID, "incomplete request head"
	}
	if ident.Instance(head.Stamp.Instance) != s.config.Instance {
		return wire.Reason_REASON_INSTANCE, "stamped for another run of this node"
	}
	return 0, ""
}

// startBefore converts a stamp to the last moment at which its attempt may start.
func (s *Server) startBefore(stamp *wire.Stamp) time.Time {
	return s.config.Started.Add(time.Duration(stamp.StartBeforeNs))
}

// ingressLost notes that the ingress has closed the stream. A repeatable attempt
// is canceled. One that must not repeat continues until its deadline, so that a fence can
// tell how it ended. After the deadline no fence asks, and a backend server that
// never ends its response would keep the slot.
func (a *attempt) ingressLost() {
	a.ingressGone.Store(true)
	// A write may wait for the ingress to read, which it never does again. The ingress keeps what
	// it has received until both sides of the stream are closed.
	if err := a.conn.Stream().Close(); err != nil {
		a.server.config.Log.Debug("closing the stream of an attempt failed", "attempt", string(a.id), "error", err)
	}
	a.server.stopWaiting(a.id)
	if a.head.Repeatable {
		a.cancel(errIngressGone)
		return
	}
	clock := a.server.config.Clock
	ended := clock.AfterFunc(max(0, a.deadline.Sub(clock.Now())), func() { a.cancel(errDeadline) })
	context.AfterFunc(a.ctx, func() { ended.Stop() })
}

// wait requests a slot and waits until it is granted or refused. It sends a
// refusal to the ingress. It reports false if the attempt has no slot.
func (a *attempt) wait(ctx context.Context) (slotResult, bool) {
	decision, ready := a.admit()
	if a.ingressGone.Load() {
		// ingressLost may have looked for the attempt before it was admitted.
		a.leaveQueue()
		return slotResult{}, false
	}
	switch decision.Kind {
	case admit.Granted:
		return grantedSlot(&decision.Server), true
	case admit.Refused:
		a.refuse(&wire.Refusal{
			Reason: reasons[decision.Reason], Detail: decision.Reason.String(), PauseMs: decision.Pause.Milliseconds(),
		})
		return slotResult{}, false
	}
	select {
	case slot := <-ready:
		if !slot.granted {
			a.refuse(&wire.Refusal{Reason: reasons[slot.reason], Detail: slot.reason.String()})
		}
		return slot, slot.granted
	case <-ctx.Done():
		a.leaveQueue()
		return slotResult{}, false
	}
}

// leaveQueue ends an attempt that waits for a slot. It frees the slot if one was granted meanwhile.
func (a *attempt) leaveQueue() {
	a.server.stopWaiting(a.id)
	a.finishUnsent(health.Result{Outcome: health.Canceled})
}

// admit requests a slot. The channel is nil unless the attempt has to wait.
func (a *attempt) admit() (admit.Decision, <-chan slotResult) {
	s := a.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.turn()
	if baseline := a.head.Level; baseline != nil {
		s.config.Controller.SetRemoteBaseline(a.service, health.Baseline{
			Mean: baseline.Mean, Spread: baseline.Spread, FailureRate: baseline.Failure, Weight: baseline.Weight,
		})
	}
	s.restoreDepartures(t, a.head.Departed)
	decision := s.config.Controller.Admit(t, admit.Attempt{
		ID:          a.id,
		Service:     a.service,
		Repeatable:  a.head.Repeatable,
		LastResort:  a.head.LastResort,
		HasBody:     a.head.ContentLength != 0,
		StartBefore: s.startBefore(a.head.Stamp),
		Deadline:    a.deadline,
		Target:      time.Duration(a.head.TargetMs) * time.Millisecond,
		Priority:    int(a.head.Priority),
		NoWait:      a.head.Direct,
		Retry:       a.head.Again,
		RetryShare:  min(max(a.head.RetryShare, 0), 1),
		Route:       nested.Route(a.head.Route),
		Origin:      ident.Service(a.head.Origin),
	})
	if decision.Kind != admit.Waiting {
		return decision, nil
	}
	ready := make(chan slotResult, 1)
	s.waiting[a.id] = ready
	return decision, ready
}

// stopWaiting ends the wait of an attempt whose ingress has closed the stream. It changes nothing
// for an attempt that holds a slot.
func (s *Server) stopWaiting(id ident.Attempt) {
	s.WithController(func(t eval.Context, d *admit.Controller) {
		d.Cancel(t, id)
		s.wake(id, slotResult{reason: admit.Late})
	})
}

// run sends the request to its backend server and the response to the ingress.
func (a *attempt) run(ctx context.Context, slot slotResult) {
	now := a.server.config.Clock.Now()
	a.startedAt.Store(now.UnixNano())
	a.timer = a.server.config.Clock.AfterFunc(a.deadline.Sub(now), func() { a.cancel(errDeadline) })
	defer a.timer.Stop()
	if !a.body.complete() {
		_ = a.send(wire.KindStarted, &wire.Started{BackendServer: string(slot.backend)})
	}
	response, err := a.server.pool.Do(ctx, slot.address, a.request(ctx, slot), back.Options{
		Repeatable: a.head.Repeatable, Request: string(a.head.Request), Deadline: a.deadline, OnInformational: a.informational,
	})
	a.serviceTime = a.server.config.Clock.Since(time.Unix(0, a.startedAt.Load()))
	if err != nil {
		a.noResponse(ctx, err)
		return
	}
	defer response.Body.Close()
	a.server.WithController(func(_ eval.Context, d *admit.Controller) { d.HeaderReceived(a.id) })
	a.timer.Stop()
	a.sendResponse(ctx, response)
}

// bodySent notes that the backend server has received the whole body. The
// measurement of its service time starts here.
func (a *attempt) bodySent() {
	a.startedAt.Store(a.server.config.Clock.Now().UnixNano())
	a.server.WithController(func(t eval.Context, d *admit.Controller) { d.BodySent(t, a.id) })
}

// noResponse ends an attempt that has received no response. If nothing was sent
// to the backend server, the attempt is refused.
func (a *attempt) noResponse(ctx context.Context, err error) {
	if errors.Is(err, back.ErrUnsent) {
		a.finishUnsent(health.Result{Outcome: a.attributedOutcome(failureOutcome(ctx)), Took: a.serviceTime})
		a.refuse(&wire.Refusal{Reason: wire.Reason_REASON_CONNECT, Detail: "nothing reached the backend server"})
		return
	}
	a.finish(failureOutcome(ctx), nil)
	a.sendFailure("request", err)
}

// finishUnsent records an attempt of which nothing has reached a backend server.
func (a *attempt) finishUnsent(r health.Result) {
	a.server.end(a.id, func(t eval.Context, d *admit.Controller) admit.Ops { return d.FinishUnsent(t, a.id, r) })
}

// failureOutcome returns the health outcome of an attempt without a response,
// from the cause that canceled its context.
func failureOutcome(ctx context.Context) health.Outcome {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDeadline):
		return health.TimedOut
	case errors.Is(cause, errIngressGone):
		return health.Canceled
	default:
		return health.Failed
	}
}

// attributedOutcome returns the outcome to record for the backend server. It is
// Canceled, which doesn't count, if the request's body was truncated or if a
// request of the backend server itself failed during the attempt.
func (a *attempt) attributedOutcome(o health.Outcome) health.Outcome {
	if a.body.truncated() || o != health.OK && a.server.localFailedAt.Load() > a.startedAt.Load() {
		return health.Canceled
	}
	return o
}

// finish records the attempt's outcome. A response that is not nil is kept for fences.
func (a *attempt) finish(o health.Outcome, answer *fence.Answer) {
	o = a.attributedOutcome(o)
	a.reportFailure(o)
	a.server.end(a.id, func(t eval.Context, d *admit.Controller) admit.Ops {
		return d.Finish(t, a.id, health.Result{Outcome: o, Took: a.serviceTime}, answer)
	})
}

// reportFailure logs an attempt that its backend server failed, with that
// server's state before the failure was recorded.
func (a *attempt) reportFailure(o health.Outcome) {
	if o != health.Failed && o != health.TimedOut {
		return
	}
	state := ""
	a.server.WithController(func(_ eval.Context, d *admit.Controller) { state = d.ServerGrade(a.id) })
	events.Emit(a.server.config.Log, events.AttemptFailed, "request", string(a.head.Request), "attempt", string(a.id), "service", string(a.service),
		"standing", state, "hung", o == health.TimedOut, "repeatable", a.head.Repeatable, "took", a.serviceTime.String())
}

// request builds the request for the backend server.
func (a *attempt) request(ctx context.Context, slot slotResult) *http.Request {
	r := &http.Request{
		Method:        a.head.Method,
		URL:           target(string(a.head.Target), slot.address),
		Host:          a.head.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        a.callerHeader(),
		ContentLength: a.head.ContentLength,
	}
	if _, set := r.Header["User-Agent"]; !set {
		r.Header["User-Agent"] = []string{""}
	}
	a.server.config.HeaderCodec.SetRequest(r.Header, RequestInfo{
		Server: slot.backend, TimeLeft: a.deadline.Sub(a.server.config.Clock.Now()), Origin: ident.Service(a.head.Origin),
		Organisation: ident.Organisation(a.head.Organisation),
	})
	r.Body = http.NoBody
	if r.ContentLength != 0 {
		r.Body = a.body
	}
	if names := slices.DeleteFunc(slices.Clone(a.head.TrailerNames), a.isWithheld); len(names) > 0 {
		r.Trailer = http.Header{}
		for _, name := range names {
			r.Trailer[name] = nil
		}
		r.Body = &trailerReader{requestBody: a.body, trailer: r.Trailer}
	}
	return r.WithContext(ctx)
}

// callerHeader returns the caller's header fields for the backend server.
func (a *attempt) callerHeader() http.Header {
	h := wire.ToHeader(a.head.Headers)
	maps.DeleteFunc(h, func(name string, _ []string) bool { return a.isWithheld(name) })
	return h
}

// isWithheld reports whether a field of the caller is not for the backend server. An ingress
// withholds these fields itself, but one of an earlier version may pass them on.
func (a *attempt) isWithheld(name string) bool {
	return a.server.config.HeaderCodec.Identifies(http.CanonicalHeaderKey(name))
}

// target builds the URL so that the request line has the target unchanged, byte
// for byte.
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

// informational passes a 1xx response on to the ingress, except 100 Continue.
func (a *attempt) informational(status int, header http.Header) error {
	if status == http.StatusContinue {
		return nil
	}
	return a.send(wire.KindInformational, &wire.Informational{
		Status:  int32(status),
		Headers: wire.FromHeader(header),
	})
}

// trailerReader sets the request's trailers when its body has been read to the
// end.
type trailerReader struct {
	*requestBody
	trailer http.Header
}

// Read reads from the body.
func (t *trailerReader) Read(p []byte) (int, error) {
	n, err := t.requestBody.Read(p)
	if errors.Is(err, io.EOF) {
		for name := range t.trailer {
			t.trailer[name] = t.requestBody.trailer[name]
		}
	}
	return n, err
}
