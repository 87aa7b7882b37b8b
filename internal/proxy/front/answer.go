package front

import (
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/retry"
)

const (
	// holdBytes is how much of an answer is held back until it is whole, so
	// that another attempt can still replace it.
	holdBytes = 64 << 10
	// callerIdle bounds how long a caller may take no byte of its answer.
	callerIdle = time.Minute
)

// errStream marks a stream that ended before its answer did.
var errStream = errors.New("front: stream ended early")

// answer is an answer on its way to the caller.
type answer struct {
	x       *exchange
	head    *wire.ResponseHead
	held    []byte
	control *http.ResponseController
	// trailers are those of an answer that is kept as a fallback.
	trailers []*wire.Header
}

// receive takes the frames of an attempt up to its outcome.
func (a *attempt) receive() result {
	for {
		if a.reply != nil && !a.reply.linger(a) {
			a.x.cut(a, errStream)
		}
		frame, err := a.stream.Next()
		if err != nil {
			return a.broken(errors.CombineErrors(errStream, err))
		}
		if r, over := a.take(frame); over {
			return r
		}
	}
}

// take takes one frame and tells whether it ends the attempt.
func (a *attempt) take(f wire.Frame) (result, bool) {
	switch f.Kind {
	case wire.KindStarted:
		a.start()
	case wire.KindInformational:
		a.inform(f)
	case wire.KindRefusal:
		return a.refused(f), true
	case wire.KindFailure:
		return a.failure(f), true
	case wire.KindResponseHead:
		head, err := wire.Decode[wire.ResponseHead](f, wire.KindResponseHead)
		if err != nil || a.reply != nil {
			return a.broken(wire.ErrFrame), true
		}
		if !a.x.race.win(a) {
			return a.lost("hedge", errHedged), true
		}
		a.headed.Store(true)
		a.reply = a.x.begin(head)
	case wire.KindBody:
		if a.reply == nil {
			return a.broken(wire.ErrFrame), true
		}
		if err := a.reply.add(f.Payload); err != nil {
			return a.callerGone(err), true
		}
	case wire.KindEnd:
		end, err := wire.Decode[wire.End](f, wire.KindEnd)
		if err != nil || a.reply == nil {
			return a.broken(wire.ErrFrame), true
		}
		return a.whole(end), true
	default:
		return a.broken(wire.ErrFrame), true
	}
	return result{}, false
}

// start notes that a backend server receives the request.
func (a *attempt) start() {
	if !a.begun {
		a.begun = true
		close(a.started)
	}
}

// whole passes an answer on that has come to its end.
func (a *attempt) whole(end *wire.End) result {
	reply := a.reply
	failed := reply.head.Status >= http.StatusInternalServerError
	a.note(end.Load, failed)
	if failed && a.x.repeatable && !a.x.committed {
		r := a.failed(retry.Failed, "answer", errors.Newf("backend server answered %d", reply.head.Status))
		reply.trailers = end.Trailers
		r.fallback = reply
		return r
	}
	if failed {
		a.x.reportFailure(reply, "must not repeat")
	}
	if err := reply.finish(end.Trailers); err != nil {
		return a.callerGone(err)
	}
	if !a.x.repeatable {
		_ = a.stream.Send(wire.KindDone, &wire.End{})
	}
	return result{answered: true}
}

func (a *attempt) refused(f wire.Frame) result {
	refusal, err := wire.Decode[wire.Refusal](f, wire.KindRefusal)
	if err != nil {
		return a.broken(err)
	}
	a.observe(refusal.Load, a.x.now())
	a.x.server.with(a.x.match.Entry.Name, func(t turn.Turn, l *lane) {
		l.picker.Refused(t, a.sidecar.Address, told(refusal.Load), time.Duration(refusal.PauseMs)*time.Millisecond, a.x.mayTry())
	})
	outcome := retry.Refused
	if refusal.Arrived {
		outcome = retry.Shed
	}
	r := a.failed(outcome, "refused", errors.Newf("refused: %s", refusal.Detail))
	r.moved = refusal.Reason == wire.Reason_REASON_NO_BACKEND || refusal.Reason == wire.Reason_REASON_LEAVING
	return r
}

func (a *attempt) failure(f wire.Frame) result {
	failure, err := wire.Decode[wire.Failure](f, wire.KindFailure)
	if err != nil {
		return a.broken(err)
	}
	a.note(failure.Load, true)
	cause := errors.Newf("%s: %s", failure.Step, failure.Detail)
	if a.reply != nil && a.x.committed {
		a.x.cut(a, cause)
	}
	return a.failed(retry.Failed, failure.Step, cause)
}

// broken ends an attempt whose stream ended, or made no sense. An answer that
// the caller already has a part of is cut visibly.
func (a *attempt) broken(err error) result {
	if a.reply != nil && a.x.committed {
		a.x.server.with(a.x.match.Entry.Name, func(t turn.Turn, l *lane) {
			l.picker.Unreachable(t, a.sidecar.Address)
		})
		a.x.cut(a, err)
	}
	if failed := a.x.body.failure(); failed != nil {
		return a.badBody(failed)
	}
	return a.lost("answer", err)
}

// badBody ends an attempt whose caller did not send its body whole.
func (a *attempt) badBody(err error) result {
	r := a.lost("body", err)
	var tooLarge *http.MaxBytesError
	a.x.plan.MaxAttempts = 0
	if !a.begun {
		r.outcome = retry.Unreached
	}
	if errors.As(err, &tooLarge) {
		r.trouble.status = http.StatusRequestEntityTooLarge
	}
	return r
}

// callerGone ends an attempt whose caller does not take its answer.
func (a *attempt) callerGone(err error) result {
	a.x.server.with(a.x.match.Entry.Name, func(_ turn.Turn, l *lane) {
		l.picker.Canceled(a.sidecar.Address)
	})
	a.x.cut(a, err)
	return result{}
}

// cut breaks the caller's connection, which is the only truthful end of an
// answer of which a part has gone out.
func (x *exchange) cut(a *attempt, err error) {
	events.Emit(x.server.config.Log, events.AnswerCut,
		"service", string(x.match.Entry.Name), "peer", a.sidecar.Address, "error", err)
	x.server.config.Meter.Unknown.Inc(1)
	panic(http.ErrAbortHandler)
}

func (a *attempt) inform(f wire.Frame) {
	info, err := wire.Decode[wire.Informational](f, wire.KindInformational)
	if err != nil || info.Status < 102 || info.Status > 199 || !a.x.race.alone() {
		return
	}
	h := a.x.writer.Header()
	fields := wire.ToHeader(info.Headers)
	for name, values := range fields {
		h[name] = values
	}
	a.x.writer.WriteHeader(int(info.Status))
	for name := range fields {
		delete(h, name)
	}
}

func (x *exchange) begin(head *wire.ResponseHead) *answer {
	return &answer{x: x, head: head, control: http.NewResponseController(x.writer)}
}

// linger gives an answer of unknown length a moment to go on. Where it does
// not, what is held goes to the caller, who may be waiting for just that.
func (r *answer) linger(a *attempt) bool {
	if r.head.ContentLength >= 0 || a.stream.Buffered() {
		return true
	}
	if len(r.held) == 0 && r.x.committed {
		return true
	}
	if a.stream.Ready(lingerTime) {
		return true
	}
	return r.commit() == nil && r.control.Flush() == nil
}

// lingerTime is how long an answer of unknown length is held for more.
const lingerTime = 50 * time.Millisecond

// add takes a part of the body.
func (r *answer) add(p []byte) error {
	if !r.x.committed && len(r.held)+len(p) <= holdBytes && !r.streams() {
		r.held = append(r.held, p...)
		return nil
	}
	if err := r.commit(); err != nil {
		return err
	}
	return r.write(p)
}

// streams tells whether the caller wants each part as it comes.
func (r *answer) streams() bool {
	if r.head.ContentLength >= 0 {
		return false
	}
	for _, h := range r.head.Headers {
		if h.Name == "Content-Type" && strings.HasPrefix(h.Value, "text/event-stream") {
			return true
		}
	}
	return false
}

// commit sends the head and what is held. No other attempt can follow.
func (r *answer) commit() error {
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

func (r *answer) writeHead() {
	r.x.committed = true
	r.x.succeeded = r.head.Status < http.StatusInternalServerError
	h := r.x.writer.Header()
	for _, field := range r.head.Headers {
		h[field.Name] = append(h[field.Name], field.Value)
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

func (r *answer) write(p []byte) error {
	_ = r.control.SetWriteDeadline(time.Now().Add(callerIdle))
	_, err := r.x.writer.Write(p)
	if err != nil {
		return errors.Wrap(err, "front: write to the caller")
	}
	if r.streams() {
		return r.control.Flush()
	}
	return nil
}

// finish sends what is left, and the trailers.
func (r *answer) finish(trailers []*wire.Header) error {
	r.x.record(r)
	if err := r.commit(); err != nil {
		return err
	}
	h := r.x.writer.Header()
	for _, field := range trailers {
		name := field.Name
		if !declared(r.head.TrailerNames, name) {
			name = http.TrailerPrefix + name
		}
		h[name] = append(h[name], field.Value)
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
