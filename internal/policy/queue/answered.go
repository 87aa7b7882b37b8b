package queue

import (
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
)

// Answered records the service time of an attempt of a priority that a server answered, or
// failed. Call it before Release. busyAtStart is what Busy returned when it was granted. A
// failure counts as at least the mean, since one that comes quickly must not make the
// server look fast.
func (q *Queue) Answered(t eval.Context, id ident.Backend, priority, busyAtStart int, took time.Duration, failed bool) {
	if took <= 0 {
		return
	}
	if failed {
		took = max(took, q.answered)
	}
	if q.answered == 0 {
		q.answered = took
	}
	q.answered = smoothed(q.answered, took)
	if s := q.server(id); s != nil && !failed && s.Grade == Preferred {
		s.Curve.Record(t.Now, s.Slots, priority, (busyAtStart+s.Busy+1)/2, took)
	}
}

// Busy returns the number of slots in use at a server.
func (q *Queue) Busy(id ident.Backend) int {
	if s := q.server(id); s != nil {
		return s.Busy
	}
	return 0
}
