package side

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/desk"
	"github.com/figwick/figwick/internal/policy/fence"
	"github.com/figwick/figwick/internal/policy/health"
)

const (
	// stallLimit bounds how long a backend server may give no byte of a body
	// that its caller wants to read.
	stallLimit = 30 * time.Second

	// gatherBytes is the largest body that leaves together with its head.
	gatherBytes = 16 << 10

	outcomeHeader = "Figwick-Outcome"
	outcomeNotRun = "not-run"
	retryAfter    = "Retry-After"
)

// errUnproven marks an answer that may not be the backend server's own.
var errUnproven = errors.New("side: answer bears no proof of its backend server")

// kept is an answer that a fence can still fetch.
type kept struct {
	head     *wire.ResponseHead
	body     []byte
	trailers []*wire.Header
	over     bool
}

// answer streams a response to the ingress.
func (a *attempt) answer(ctx context.Context, r *http.Response) {
	switch reading := a.server.config.Dialect.Read(r); reading {
	case NotRun, Absent:
		a.server.Do(func(t turn.Turn, d *desk.Desk) desk.Ops { return d.Shed(t, a.id) })
		a.refuse(&wire.Refusal{Reason: reading.reasonOf(), Detail: "refused by the backend server", Arrived: true})
		return
	case Unproven:
		a.finish(health.Failed, nil)
		a.fail("answer", errUnproven)
		return
	}
	head := &wire.ResponseHead{
		Status:        int32(r.StatusCode),
		Headers:       wire.FromHeader(r.Header),
		ContentLength: r.ContentLength,
	}
	for name := range r.Trailer {
		head.TrailerNames = append(head.TrailerNames, name)
	}
	if r.ContentLength >= 0 && r.ContentLength <= gatherBytes {
		a.conn.Gather()
	}
	a.pass(wire.KindResponseHead, head)
	k := &kept{head: head, over: a.head.Repeatable}
	if err := a.copyBody(r, k); err != nil {
		o := health.Failed
		if errors.Is(context.Cause(ctx), errLost) {
			o = health.Canceled
		}
		a.finish(o, nil)
		a.fail("answer", err)
		return
	}
	k.trailers = wire.FromHeader(r.Trailer)
	a.finish(judge(r), k.answer())
	a.pass(wire.KindEnd, &wire.End{Trailers: k.trailers, Load: a.load()})
	a.flush()
}

func (a *attempt) flush() {
	a.sending.Lock()
	defer a.sending.Unlock()
	if !a.gone.Load() && a.conn.Flush() != nil {
		a.gone.Store(true)
	}
}

// judge tells what a whole answer says of its backend server.
func judge(r *http.Response) health.Outcome {
	switch {
	case r.StatusCode == http.StatusTooManyRequests:
		return health.Shed
	case r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(retryAfter) != "":
		return health.Shed
	case r.StatusCode == http.StatusGatewayTimeout:
		// The deadline may have been short before the request got its slot.
		return health.TimedOut
	case r.StatusCode == http.StatusNotImplemented, r.StatusCode < http.StatusInternalServerError:
		return health.OK
	default:
		return health.Failed
	}
}

// copyBody passes the body on as it comes. The stall timer runs only while the
// backend server is waited for, not while the caller is.
func (a *attempt) copyBody(r *http.Response, k *kept) error {
	if r.Body == http.NoBody {
		return nil
	}
	for {
		a.timer.Reset(stallLimit)
		buffer := a.conn.BodyBuffer()
		n, err := r.Body.Read(buffer)
		a.timer.Stop()
		if n > 0 {
			k.add(buffer[:n])
			a.passBody(n)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "side: answer's body")
		}
		if a.gone.Load() && a.head.Repeatable {
			return errLost
		}
	}
}

func (a *attempt) passBody(n int) {
	if a.gone.Load() {
		return
	}
	a.sending.Lock()
	defer a.sending.Unlock()
	if err := a.conn.SendBody(n); err != nil {
		a.gone.Store(true)
	}
}

// pass sends a frame unless the ingress is gone; an attempt that must not
// repeat goes on without it.
func (a *attempt) pass(kind wire.Kind, m proto.Message) {
	if !a.gone.Load() {
		_ = a.send(kind, m)
	}
}

func (a *attempt) send(kind wire.Kind, m proto.Message) error {
	a.sending.Lock()
	defer a.sending.Unlock()
	err := a.conn.Send(kind, m)
	if err != nil {
		a.gone.Store(true)
	}
	return err
}

func (a *attempt) refuse(refusal *wire.Refusal) {
	a.server.config.Meter.Refused.Inc(1)
	refusal.Load = a.load()
	a.pass(wire.KindRefusal, refusal)
}

func (a *attempt) fail(step string, err error) {
	defer a.flush()
	a.pass(wire.KindFailure, &wire.Failure{Step: step, Detail: err.Error(), Load: a.load()})
}

func (a *attempt) load() *wire.Load {
	s := a.server
	load := &wire.Load{
		ClockNs:   int64(s.config.Clock.Since(s.config.Started)),
		ServiceUs: a.took.Microseconds(),
	}
	s.Look(func(t turn.Turn, d *desk.Desk) {
		l := d.Load(t, a.service)
		load.Slots = uint32(l.Slots)
		load.Free = uint32(l.Free)
		load.Queued = uint32(l.Queued)
	})
	return load
}

func (s *Server) track(id ident.Attempt, server string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running[id] = server
}

func (s *Server) untrack(id ident.Attempt) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.running, id)
}

func (k *kept) add(p []byte) {
	if k.over {
		return
	}
	if len(k.body)+len(p) > fence.AnswerBytes {
		k.over = true
		k.body = nil
		return
	}
	k.body = append(k.body, p...)
}

func (k *kept) answer() *fence.Answer {
	if k.over {
		return nil
	}
	return &fence.Answer{Value: k, Size: len(k.body)}
}
