package front

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/eval"
)

const (
	// stopFenceTime is how long before the process ends the fates of attempts that
	// must not repeat are asked for. It leaves time for a fence on a slow path.
	stopFenceTime = 600 * time.Millisecond
	// stopAnswerTime is how long before the process ends every request still in
	// flight is answered.
	stopAnswerTime = 150 * time.Millisecond
)

// errStopping is the cause that cancels an attempt because this process ends.
var errStopping = errors.New("front: this node is stopping")

// stopper ends the requests in flight in time before the process ends. The zero value
// is not usable.
type stopper struct {
	// fence is canceled when attempts that must not repeat are ended, cut when the
	// others are.
	fence, cut             context.Context
	cancelFence, cancelCut context.CancelFunc
}

func newStopper() stopper {
	var s stopper
	s.fence, s.cancelFence = context.WithCancel(context.Background())
	s.cut, s.cancelCut = context.WithCancel(context.Background())
	return s
}

// StopBy tells the ingress when its process ends. Requests that are not answered
// shortly before that time are then answered with their outcome: not run if a fence
// shows that, otherwise unknown. It does not wait. The context ends the timers.
func (s *Server) StopBy(ctx context.Context, end time.Time) {
	s.stopBy.Store(&end)
	now := s.config.Clock.Now()
	fence := s.config.Clock.AfterFunc(end.Add(-stopFenceTime).Sub(now), s.stopper.cancelFence)
	cut := s.config.Clock.AfterFunc(end.Add(-stopAnswerTime).Sub(now), s.stopper.cancelCut)
	context.AfterFunc(ctx, func() {
		fence.Stop()
		cut.Stop()
	})
}

// Drain tells the ingress that callers have had time to notice that this node is
// stopping.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// refuseOutlasting refuses a request that may still run when the process ends, and reports
// whether it did. Another node can take it while there is time.
//
// Until callers have had time to notice the stop, a request is refused only if most requests
// would take longer than the time left: its caller has no other node yet. After that
// each request that is accepted must have its whole time, since one that is cut off has an
// unknown outcome.
func (x *exchange) refuseOutlasting() bool {
	end := x.server.stopBy.Load()
	if end == nil {
		return false
	}
	needed := x.expectedLatency()
	if x.server.draining.Load() {
		needed = x.deadline.Sub(x.arrived)
	}
	left := end.Add(-stopAnswerTime).Sub(x.arrived)
	if left > needed {
		return false
	}
	x.notRun(failureInfo{
		status: http.StatusServiceUnavailable, step: "stop", retryAfter: overloadRetryAfter,
		detail: fmt.Sprintf("this node stops in %s, the request may take %s", left, needed),
	})
	return true
}

// expectedLatency returns the time in which most attempts are answered: the route's target
// latency, or the service's average if the route has none.
func (x *exchange) expectedLatency() time.Duration {
	if x.match.TargetLatency > 0 {
		return x.match.TargetLatency
	}
	var latency time.Duration
	x.server.withService(x.match.Entry.Name, func(_ eval.Context, svc *service) { latency = svc.latency })
	return latency
}

// answerBy returns the time by which the request must be answered: its deadline, or
// earlier if the process ends before.
func (x *exchange) answerBy() time.Time {
	if end := x.server.stopBy.Load(); end != nil {
		if last := end.Add(-stopAnswerTime); last.Before(x.deadline) {
			return last
		}
	}
	return x.deadline
}

// startBy returns the time by which an attempt must be started: the request's deadline. If
// the process ends before, it is so early that most requests are answered until then.
func (x *exchange) startBy() time.Time {
	if x.isCutByStop() {
		return x.answerBy().Add(-x.expectedLatency())
	}
	return x.deadline
}

// isCutByStop reports whether the process ends before the request's deadline, so that its
// attempts have less time than the caller allows.
func (x *exchange) isCutByStop() bool {
	return x.answerBy().Before(x.deadline)
}

// stopSignal returns the context that is canceled when the attempts of a request that
// isCutByStop must end.
func (x *exchange) stopSignal() context.Context {
	if x.repeatable {
		return x.server.stopper.cut
	}
	return x.server.stopper.fence
}

// isStopped reports whether the request must end now because the process does.
func (x *exchange) isStopped() bool {
	return x.isCutByStop() && x.stopSignal().Err() != nil
}

// onStop ends an attempt of whose response the caller has received nothing when the
// process is about to end. An attempt whose deadline comes before is left alone.
func (a *attempt) onStop() {
	if a.x.isCutByStop() {
		a.end(errStopping)
	}
}
