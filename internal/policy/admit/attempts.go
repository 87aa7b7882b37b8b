package admit

import (
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/fence"
	"github.com/figwick/figwick/internal/policy/health"
)

// Finish records the result of an attempt that held a slot, and frees the slot. An
// answer that is not nil is kept for an ingress that loses the response.
func (c *Controller) Finish(t eval.Context, id ident.Attempt, r health.Result, answer *fence.Answer) Ops {
	h, found := c.active[id]
	if !found || h.server == "" {
		return Ops{}
	}
	delete(c.active, id)
	if !h.Repeatable {
		c.fences.Finish(t.Now, id, answer)
	}
	s := c.services[h.Service]
	var ops Ops
	if s.servers[h.server] != h.serverState {
		return ops
	}
	relative := r
	relative.Took = health.ScaleToTarget(r.Took, h.Target)
	c.applyHealthOps(t, s, s.tracker.Finish(t, h.server, id, relative), &ops)
	c.updateRecentlyFailed(t, s, h.serverState, &ops)
	took := r.Took
	if r.Outcome == health.Canceled {
		took = 0
	} else {
		s.queue.Answered(t, h.server, s.priorityOf(&h.Attempt), h.busyAtStart, took, r.Outcome != health.OK)
	}
	c.applyOutcome(t, s, s.queue.Release(t, h.server, s.priorityOf(&h.Attempt), took), &ops)
	return ops
}

// BodySent records that a backend server has received the whole request body of
// an attempt. Only from then on does the age of the attempt count against the
// server: before that, the caller may be the slow side.
func (c *Controller) BodySent(t eval.Context, id ident.Attempt) {
	h, found := c.active[id]
	if !found || h.server == "" || !h.HasBody {
		return
	}
	s := c.services[h.Service]
	if s.servers[h.server] == h.serverState {
		s.tracker.Begin(t, h.server, id, h.Target)
	}
}

// HeaderReceived records that the header of an attempt's response has arrived.
func (c *Controller) HeaderReceived(id ident.Attempt) {
	h, found := c.active[id]
	if found && h.server != "" {
		c.services[h.Service].tracker.HeaderReceived(h.server, id)
	}
}

// FinishUnsent ends an attempt that was granted a slot but of which no byte
// reached the backend server. It counts as not run.
func (c *Controller) FinishUnsent(t eval.Context, id ident.Attempt, r health.Result) Ops {
	c.fences.RevertStart(id)
	return c.Finish(t, id, r, nil)
}

// FinishShed ends an attempt that its backend server refused because of load,
// with an assurance that it did not run the request. It counts as not run.
func (c *Controller) FinishShed(t eval.Context, id ident.Attempt) Ops {
	c.fences.RevertStart(id)
	return c.Finish(t, id, health.Result{Outcome: health.Shed}, nil)
}

// Cancel removes a waiting attempt whose caller has disconnected. An attempt that
// holds a slot continues until Finish.
func (c *Controller) Cancel(t eval.Context, id ident.Attempt) {
	h, found := c.active[id]
	if !found || h.server != "" {
		return
	}
	delete(c.active, id)
	s := c.services[h.Service]
	s.queue.Cancel(id)
	c.refundBudget(t, s, h.Attempt)
	c.fences.Withdraw(id)
}

// Fence returns the fate of an attempt, and its answer if that is kept. An attempt
// that has not started is barred from starting; if it waits, it is refused.
func (c *Controller) Fence(t eval.Context, id ident.Attempt, startBefore time.Time) (fence.Fate, *fence.Answer, Ops) {
	fate, answer := c.fences.Fence(t.Now, id, startBefore)
	h, found := c.active[id]
	if fate != fence.NotStarted || !found || h.server != "" {
		return fate, answer, Ops{}
	}
	delete(c.active, id)
	s := c.services[h.Service]
	s.queue.Cancel(id)
	c.refundBudget(t, s, h.Attempt)
	return fate, answer, Ops{Refusals: []Refusal{{Attempt: id, Reason: Fenced}}}
}

// Release drops the kept answer of an attempt whose ingress has received it.
func (c *Controller) Release(id ident.Attempt) {
	c.fences.Release(id)
}
