package side

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/policy/fence"
	"github.com/figwick/figwick/internal/policy/health"
	"github.com/figwick/figwick/internal/policy/nested"
)

const (
	// stallTimeout bounds how long a backend server may send no byte of a
	// response body. It has until the request's deadline at least.
	stallTimeout = 30 * time.Second

	// gatherBytes is the largest response body that is sent in one write together
	// with its header.
	gatherBytes = 16 << 10
	// maxDetailBytes is how much of an error's text is sent to the ingress. It may
	// quote the backend server's bytes, and a Failure has a maximum size.
	maxDetailBytes = 1 << 10

	outcomeHeader = "Figwick-Outcome"
	outcomeNotRun = "not-run"
	retryAfter    = "Retry-After"

	leavingHeader      = "Figwick-Leaving"
	rateLimitHeader    = "Figwick-Rate-Limit"
	organisationHeader = "Figwick-Organisation"
	apiKeyHeader       = "Figwick-Key"
)

// errUnverified marks a response that may come from something other than the
// backend server.
var errUnverified = errors.New("side: response cannot be verified as the backend server's")

// keptAnswer is a response that a fence can retrieve when the ingress has lost
// it.
type keptAnswer struct {
	head     *wire.ResponseHead
	body     []byte
	trailers []*wire.Header
	// discarded reports that the response is not kept: its attempt is repeatable
	// or its body is too large.
	discarded bool
}

// sendResponse passes a response on to the ingress and finishes the attempt.
func (a *attempt) sendResponse(ctx context.Context, r *http.Response) {
	class := a.server.config.HeaderCodec.Classify(r)
	departed := a.applyNotice(r, class)
	switch class {
	case NotRun, WrongServer:
		a.server.end(a.id, func(t eval.Context, d *admit.Controller) admit.Ops { return d.FinishShed(t, a.id) })
		a.refuse(&wire.Refusal{Reason: class.refusalReason(), Detail: "refused by the backend server", Arrived: true})
		return
	case Unverified:
		a.finish(health.Failed, nil)
		a.sendFailure("answer", errUnverified)
		return
	}
	head := &wire.ResponseHead{
		Status:        int32(r.StatusCode),
		Headers:       wire.FromHeader(r.Header),
		ContentLength: r.ContentLength,
		Departed:      departed,
	}
	for name := range r.Trailer {
		head.TrailerNames = append(head.TrailerNames, name)
	}
	if r.ContentLength >= 0 && r.ContentLength <= gatherBytes {
		a.conn.Gather()
	}
	a.sendIfConnected(wire.KindResponseHead, head)
	k := &keptAnswer{head: head, discarded: a.head.Repeatable}
	if err := a.copyBody(r, k); err != nil {
		o := health.Failed
		cause := context.Cause(ctx)
		if errors.Is(err, errIngressGone) || errors.Is(cause, errIngressGone) || errors.Is(cause, errDeadline) && a.ingressGone.Load() {
			o = health.Canceled
		}
		a.finish(o, nil)
		a.sendFailure("answer", err)
		return
	}
	k.trailers = wire.FromHeader(r.Trailer)
	a.finish(responseOutcome(r), k.answer())
	a.sendIfConnected(wire.KindEnd, &wire.End{Trailers: k.trailers, Load: a.load()})
	a.flush()
}

// applyNotice applies what the backend server says of itself in a response, unless the
// response may come from something else. It returns the server if it is leaving.
func (a *attempt) applyNotice(r *http.Response, class ResponseClass) *wire.Departure {
	s := a.server
	n := s.config.HeaderCodec.Notice(r)
	if class == WrongServer || class == Unverified {
		return nil
	}
	newlyLeaving := false
	s.Do(func(t eval.Context, d *admit.Controller) admit.Ops {
		var ops admit.Ops
		ops, newlyLeaving = d.ApplyNotice(t, a.id, n)
		return ops
	})
	if n.Limit.Unreadable {
		events.Emit(s.config.Log, events.LimitUnread, "backend-server", string(a.slot.backend), "service", string(a.service))
	}
	if !n.Leaving {
		return nil
	}
	if newlyLeaving && s.config.OnLeaving != nil {
		s.config.OnLeaving(a.slot.backend, a.slot.incarnation)
	}
	return &wire.Departure{BackendServer: string(a.slot.backend), Incarnation: uint64(a.slot.incarnation)}
}

// flush sends the frames that Gather has held back.
func (a *attempt) flush() {
	a.sendMutex.Lock()
	defer a.sendMutex.Unlock()
	if !a.ingressGone.Load() && a.conn.Flush() != nil {
		a.ingressGone.Store(true)
	}
}

// responseOutcome returns the health outcome of a complete response.
func responseOutcome(r *http.Response) health.Outcome {
	switch {
	case r.StatusCode == http.StatusTooManyRequests:
		return health.Shed
	case r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(retryAfter) != "":
		return health.Shed
	case r.StatusCode == http.StatusGatewayTimeout:
		// A backend server answers 504 when the deadline has passed. The deadline
		// may have been too short already when the request got its slot.
		return health.TimedOut
	case r.StatusCode == http.StatusNotImplemented, r.StatusCode < http.StatusInternalServerError:
		return health.OK
	default:
		return health.Failed
	}
}

// copyBody copies the response's body to the ingress. The stall timer runs only
// while it reads from the backend server, not while it writes to the ingress.
func (a *attempt) copyBody(r *http.Response, k *keptAnswer) error {
	if r.Body == http.NoBody {
		return nil
	}
	for {
		a.timer.Reset(max(stallTimeout, a.deadline.Sub(a.server.config.Clock.Now())))
		buffer := a.conn.BodyBuffer()
		n, err := r.Body.Read(buffer)
		a.timer.Stop()
		if n > 0 {
			k.add(buffer[:n])
			a.sendBody(n)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "side: read response body")
		}
		// A fence can retrieve a response only if it is kept.
		if a.ingressGone.Load() && k.discarded {
			return errIngressGone
		}
	}
}

// sendBody sends n bytes of the body buffer, if the ingress is still connected.
func (a *attempt) sendBody(n int) {
	if a.ingressGone.Load() {
		return
	}
	a.sendMutex.Lock()
	defer a.sendMutex.Unlock()
	if err := a.conn.SendBody(n); err != nil {
		a.ingressGone.Store(true)
	}
}

// sendIfConnected sends a frame if the ingress is still connected. Errors are
// ignored, since an attempt that must not repeat continues without its ingress.
func (a *attempt) sendIfConnected(kind wire.Kind, m proto.Message) {
	if !a.ingressGone.Load() {
		_ = a.send(kind, m)
	}
}

// send sends a frame to the ingress. An error marks the ingress as gone.
func (a *attempt) send(kind wire.Kind, m proto.Message) error {
	a.sendMutex.Lock()
	defer a.sendMutex.Unlock()
	err := a.conn.Send(kind, m)
	if err != nil {
		a.ingressGone.Store(true)
	}
	return err
}

// refuse sends a refusal with the current load.
func (a *attempt) refuse(refusal *wire.Refusal) {
	a.server.config.Meter.Refused.Inc(1)
	refusal.Load = a.load()
	a.sendIfConnected(wire.KindRefusal, refusal)
}

// sendFailure reports that the attempt was started and has no complete response.
func (a *attempt) sendFailure(step string, err error) {
	defer a.flush()
	a.sendIfConnected(wire.KindFailure, &wire.Failure{Step: step, Detail: detail(err), Load: a.load()})
}

// detail returns the beginning of an error's text, as valid UTF-8.
func detail(err error) string {
	text := err.Error()
	return strings.ToValidUTF8(text[:min(len(text), maxDetailBytes)], "?")
}

// load returns the load of the service here, the clock reading and the attempt's
// service time.
func (a *attempt) load() *wire.Load {
	s := a.server
	load := &wire.Load{
		ClockNs:   int64(s.config.Clock.Since(s.config.Started)),
		ServiceUs: a.serviceTime.Microseconds(),
	}
	s.WithController(func(t eval.Context, d *admit.Controller) {
		l := d.Load(t, a.service)
		load.Slots = uint32(l.Slots)
		load.Free = uint32(l.Free)
		load.Queued = uint32(l.Queued)
		load.MeanUs = l.Answered.Microseconds()
		load.Nested = d.IsNested(a.service, nested.Route(a.head.Route))
	})
	return load
}

func (s *Server) track(id ident.Attempt, address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running[id] = address
}

func (s *Server) untrack(id ident.Attempt) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.running, id)
}

// add keeps a part of the body, and discards the response if it grows beyond
// fence.MaxAnswerBytes.
func (k *keptAnswer) add(p []byte) {
	if k.discarded {
		return
	}
	if len(k.body)+len(p) > fence.MaxAnswerBytes {
		k.discarded = true
		k.body = nil
		return
	}
	k.body = append(k.body, p...)
}

// answer returns the response for the fence table, or nil if it is not kept.
func (k *keptAnswer) answer() *fence.Answer {
	if k.discarded {
		return nil
	}
	return &fence.Answer{Value: k, Size: len(k.body)}
}
