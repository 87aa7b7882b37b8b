package front

import (
	"bytes"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/heads"
	"github.com/figwick/figwick/internal/peer/link"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/retry"
)

const (
	// maxHeldBytes is how much of a response is held back before the first byte
	// is sent to the caller. Up to there another attempt can still replace it.
	maxHeldBytes = 64 << 10
	// callerWriteTimeout bounds one write to the caller. A part of a response that must be whole by
	// its deadline has until then only.
	callerWriteTimeout = time.Minute
)

// errStream marks a stream that ended before the response did.
var errStream = errors.New("front: stream ended before the response did")

// eventStream starts the content type of an event stream.
var eventStream = []byte("text/event-stream")

// response is a backend server's response that is passed on to the caller.
type response struct {
	x       *exchange
	head    *wire.ResponseHead
	held    []byte
	control *http.ResponseController
	// whole reports that the end of the response has been received. It is sent to the caller also
	// after its deadline.
	whole bool
	// trailers are set only on a response that is kept as a fallback.
	trailers []*wire.Header
}

// receive reads the frames of an attempt until it has a result.
func (a *attempt) receive() result {
	for {
		if a.response != nil && !a.response.flushIfIdle(a) {
			a.x.abortConnection(a, errStream)
		}
		frame, err := a.stream.Next()
		if err != nil && !a.received && link.IsRejected(err) {
			r := a.lost("send", err)
			r.outcome = retry.Unreached
			return r
		}
		if err != nil {
			return a.streamFailed(errors.CombineErrors(errStream, err))
		}
		a.received = true
		if r, ended := a.handleFrame(frame); ended {
			return r
		}
	}
}

// handleFrame handles one frame and reports whether it ends the attempt.
func (a *attempt) handleFrame(f wire.Frame) (result, bool) {
	switch f.Kind {
	case wire.KindStarted:
		a.markStarted()
	case wire.KindInformational:
		a.forwardInformational(f)
	case wire.KindRefusal:
		return a.handleRefusal(f), true
	case wire.KindFailure:
		return a.handleFailure(f), true
	case wire.KindResponseHead:
		return a.beginResponse(f)
	case wire.KindBody:
		if a.response == nil {
			return a.streamFailed(wire.ErrFrame), true
		}
		a.countReceived(len(f.Payload))
		if err := a.response.add(a, f.Payload); err != nil {
			return a.callerGone(err), true
		}
	case wire.KindEnd:
		end, err := wire.Decode[wire.End](f, wire.KindEnd)
		if err != nil || a.response == nil || !wire.ValidNames(end.Trailers) {
			return a.streamFailed(wire.ErrFrame), true
		}
		return a.complete(end), true
	default:
		return a.streamFailed(wire.ErrFrame), true
	}
	return result{}, false
}

// beginResponse handles the head of a response.
func (a *attempt) beginResponse(f wire.Frame) (result, bool) {
	head, err := wire.Decode[wire.ResponseHead](f, wire.KindResponseHead)
	if err != nil || a.response != nil || !isSound(head) {
		return a.streamFailed(wire.ErrFrame), true
	}
	if !a.x.race.win(a) {
		return a.lost("hedge", errHedged), true
	}
	if head.Departed != nil {
		a.x.noteDeparture(a.sidecar.Address, head.Departed)
	}
	a.response = a.x.newResponse(head)
	a.x.account.Charge(heldBytes(head.ContentLength))
	return result{}, false
}

// isSound reports whether the head of a response from another node can be passed on.
func isSound(head *wire.ResponseHead) bool {
	return heads.IsFinal(int(head.GetStatus())) && wire.ValidNames(head.GetHeaders())
}

// markStarted notes that a backend server is receiving the request.
func (a *attempt) markStarted() {
	if !a.hasStarted {
		a.hasStarted = true
		close(a.started)
	}
}

// complete handles the end of a response. A 5xx response to a repeatable request
// becomes the fallback unless part of it was sent. Any other response is sent to
// the caller.
func (a *attempt) complete(end *wire.End) result {
	response := a.response
	failed := response.head.Status >= http.StatusInternalServerError
	a.recordResponse(end.Load, failed)
	if failed && a.x.repeatable && !a.x.committed {
		r := a.failed(retry.Failed, "answer", errors.Newf("backend server answered %d", response.head.Status))
		response.trailers = end.Trailers
		r.fallback = response
		return r
	}
	if failed {
		a.x.logPassedFailure(response, "must not repeat")
	}
	if err := response.finish(end.Trailers); err != nil {
		return a.callerGone(err)
	}
	if !a.x.repeatable {
		a.acknowledge()
	}
	return result{outcome: retry.Answered}
}

func (a *attempt) handleRefusal(f wire.Frame) result {
	refusal, err := wire.Decode[wire.Refusal](f, wire.KindRefusal)
	if err != nil {
		return a.streamFailed(err)
	}
	// A response has begun, so the request was run.
	if a.response != nil {
		return a.streamFailed(wire.ErrFrame)
	}
	a.observeClock(refusal.Load, a.x.now())
	pause := time.Duration(refusal.PauseMs) * time.Millisecond
	a.x.server.withService(a.x.match.Entry.Name, func(t eval.Context, svc *service) {
		svc.picker.Refused(t, a.sidecar.Address, reportedLoad(refusal.Load), pause, a.x.mayUseTrial())
	})
	outcome := retry.Refused
	if refusal.Arrived {
		outcome = retry.Shed
	}
	r := a.failed(outcome, "refused", errors.Newf("refused: %s", refusal.Detail))
	r.pause = pause
	r.noBackend = refusal.Reason == wire.Reason_REASON_NO_BACKEND || refusal.Reason == wire.Reason_REASON_LEAVING
	return r
}

func (a *attempt) handleFailure(f wire.Frame) result {
	failure, err := wire.Decode[wire.Failure](f, wire.KindFailure)
	if err != nil {
		return a.streamFailed(err)
	}
	a.recordResponse(failure.Load, true)
	cause := errors.Newf("%s: %s", failure.Step, failure.Detail)
	if a.response != nil && a.x.committed {
		a.x.abortConnection(a, cause)
	}
	return a.failed(retry.Failed, failure.Step, cause)
}

// streamFailed ends an attempt whose stream ended early or broke the protocol. If
// the caller has received part of the response, it aborts the caller's
// connection.
func (a *attempt) streamFailed(err error) result {
	if a.response != nil && a.x.committed {
		a.x.abortConnection(a, a.recordLost(err))
	}
	if readErr := a.x.body.readError(); readErr != nil {
		return a.bodyFailed(readErr)
	}
	return a.lost("answer", err)
}

// bodyFailed ends an attempt whose caller did not send its whole body. No further
// attempt is made. The sidecar may have started it without this ingress having heard of it.
func (a *attempt) bodyFailed(err error) result {
	r := a.lost("body", err)
	var tooLarge *http.MaxBytesError
	a.x.plan.Close()
	if errors.As(err, &tooLarge) {
		r.failure.status = http.StatusRequestEntityTooLarge
	}
	return r
}

// callerGone ends an attempt whose caller does not read its response.
func (a *attempt) callerGone(err error) result {
	a.x.server.withService(a.x.match.Entry.Name, func(_ eval.Context, svc *service) {
		svc.picker.Canceled(a.sidecar.Address)
	})
	a.x.abortConnection(a, err)
	return result{}
}

// abortConnection aborts the caller's connection by a panic with
// http.ErrAbortHandler. Once a part of a response was sent, this is the only way
// to show the caller that the response is incomplete.
func (x *exchange) abortConnection(a *attempt, err error) {
	events.Emit(x.server.config.Log, events.AnswerCut, "request", x.options.ID,
		"waited", x.now().Sub(x.arrived).String(), "service", string(x.match.Entry.Name), "peer", a.sidecar.Address, "error", err)
	x.server.config.Meter.Unknown.Inc(1)
	panic(http.ErrAbortHandler)
}

// forwardInformational passes a 1xx response on to the caller, unless several
// attempts are running or the caller's version has none: HTTP/1.0 would take it for the response.
func (a *attempt) forwardInformational(f wire.Frame) {
	informational, err := wire.Decode[wire.Informational](f, wire.KindInformational)
	if err != nil || informational.Status < 102 || informational.Status > 199 || !wire.ValidNames(informational.Headers) {
		return
	}
	if !a.x.race.alone() || !a.x.request.ProtoAtLeast(1, 1) {
		return
	}
	h := a.x.writer.Header()
	fields := wire.ToHeader(informational.Headers)
	for name, values := range fields {
		h[name] = values
	}
	a.x.writer.WriteHeader(int(informational.Status))
	for name := range fields {
		delete(h, name)
	}
}

func (x *exchange) newResponse(head *wire.ResponseHead) *response {
	return &response{x: x, head: head, control: http.NewResponseController(x.writer)}
}

// flushIfIdle waits up to flushDelay for more of a response of unknown length. If
// nothing comes, it sends what is held to the caller, who may be waiting for just
// that, unless the attempt has been ended. It reports false if the write failed.
func (r *response) flushIfIdle(a *attempt) bool {
	if r.head.ContentLength >= 0 || a.stream.Buffered() {
		return true
	}
	if len(r.held) == 0 && r.x.committed {
		return true
	}
	if a.stream.WaitForFrame(flushDelay) || !a.beginPassing() {
		return true
	}
	if r.commit() != nil {
		return false
	}
	r.boundWrite()
	return r.control.Flush() == nil
}

// flushDelay is how long a response of unknown length is held for more data.
const flushDelay = 50 * time.Millisecond

// add takes a part of the body. It holds the part back or sends it on. The part is also
// held back if the attempt has been ended, since its stream then fails.
func (r *response) add(a *attempt, p []byte) error {
	hold := !r.x.committed && len(r.held)+len(p) <= maxHeldBytes && !r.isEventStream()
	if hold || !a.beginPassing() {
		r.held = append(r.held, p...)
		return nil
	}
	if err := r.commit(); err != nil {
		return err
	}
	return r.write(p)
}

// isEventStream reports whether each part must be flushed at once: the response
// is an event stream of unknown length.
func (r *response) isEventStream() bool {
	if r.head.ContentLength >= 0 {
		return false
	}
	for _, h := range r.head.Headers {
		if h.Name == "Content-Type" && bytes.HasPrefix(h.Value, eventStream) {
			return true
		}
	}
	return false
}

// commit sends the header and what is held. After it no other attempt can replace
// the response.
func (r *response) commit() error {
	if !r.x.committed {
		r.writeHead()
	}
	held := r.held
	r.held = nil
	if len(held) == 0 {
		return nil
	}
	return r.write(held)
}

func (r *response) writeHead() {
	r.x.settleBody()
	r.x.committed = true
	r.x.succeeded = r.head.Status < http.StatusInternalServerError
	h := r.x.writer.Header()
	for _, field := range r.head.Headers {
		h[field.Name] = append(h[field.Name], string(field.Value))
	}
	if _, set := h["Content-Type"]; !set {
		h["Content-Type"] = nil
	}
	if _, set := h["Date"]; !set {
		h["Date"] = nil
	}
	for _, name := range r.head.TrailerNames {
		h.Add("Trailer", name)
	}
	r.x.writer.WriteHeader(int(r.head.Status))
}

func (r *response) write(p []byte) error {
	r.boundWrite()
	r.x.body.writing.Store(true)
	r.x.account.Wait()
	_, err := r.x.writer.Write(p)
	r.x.account.Proceed()
	r.x.body.writing.Store(false)
	if err != nil {
		return errors.Wrap(err, "front: write to the caller")
	}
	if r.isEventStream() {
		return r.control.Flush()
	}
	return nil
}

// boundWrite sets the deadline of the next write to the caller.
func (r *response) boundWrite() {
	timeout := callerWriteTimeout
	if r.x.match.WholeInTime && !r.whole {
		timeout = min(timeout, r.x.deadline.Sub(r.x.now()))
	}
	_ = r.control.SetWriteDeadline(time.Now().Add(timeout))
}

// finish stores the response under the request's idempotency key, then sends the
// rest of it and the trailers.
func (r *response) finish(trailers []*wire.Header) error {
	r.x.storeAnswer(r)
	r.whole = true
	if err := r.commit(); err != nil {
		return err
	}
	r.boundWrite()
	h := r.x.writer.Header()
	for _, field := range trailers {
		name := field.Name
		if !declared(r.head.TrailerNames, name) {
			name = http.TrailerPrefix + name
		}
		h[name] = append(h[name], string(field.Value))
	}
	return nil
}

func declared(names []string, name string) bool {
	for _, n := range names {
		if http.CanonicalHeaderKey(n) == name {
			return true
		}
	}
	return false
}
