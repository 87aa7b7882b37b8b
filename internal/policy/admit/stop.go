package admit

import (
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
)

// outlastMeans is how many mean service times an attempt is expected to take at most.
const outlastMeans = 2

// StopBy tells the Controller when its process ends. From then on it refuses the
// attempts that would probably still run at that time, those that wait included, so
// that their ingresses turn to other sidecars while there is time. The others are
// still admitted until Drain.
func (c *Controller) StopBy(end time.Time) {
	c.stopBy = end
}

// WindDown tells the Controller that the process stops as soon as its other work is done. From
// then on an attempt that must not repeat is admitted only if its deadline comes before
// the end that StopBy has named: a cut would leave its outcome unknown.
func (c *Controller) WindDown() {
	c.finishing = true
}

// outlastsStop reports whether an attempt that starts now would probably still run
// when the process ends.
func (c *Controller) outlastsStop(t eval.Context, s *service, a *Attempt) bool {
	if c.stopBy.IsZero() {
		return false
	}
	if c.finishing && !a.Repeatable && a.Deadline.After(c.stopBy) {
		return true
	}
	expected := max(a.Target, outlastMeans*s.queue.Load(t).Mean)
	return t.Now.Add(expected).After(c.stopBy)
}

// refuseOutlasting refuses the waiting attempts for which outlastsStop holds.
func (c *Controller) refuseOutlasting(t eval.Context, ops *Ops) {
	if c.stopBy.IsZero() {
		return
	}
	var refused []ident.Attempt
	for id, h := range c.active {
		if h.server == "" && c.outlastsStop(t, c.services[h.Service], &h.Attempt) {
			refused = append(refused, id)
		}
	}
	slices.Sort(refused)
	for _, id := range refused {
		c.Cancel(t, id)
		ops.Refusals = append(ops.Refusals, Refusal{Attempt: id, Reason: Leaving})
	}
}
