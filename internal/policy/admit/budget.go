package admit

import (
	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/retry"
)

// EnableRetryBudget makes the Controller charge retries to its share of the
// fleet's retry budget. The fresh argument says that the whole fleet starts for the
// first time, so that nothing of the budget has been spent. It must be called
// before any other method but SetPrior.
func (c *Controller) EnableRetryBudget(fresh bool) {
	c.retryBudgetEnabled = true
	c.freshFleet = fresh
}

// SetRetryShare sets this sidecar's share of a service's retry budget.
func (c *Controller) SetRetryShare(name ident.Service, share retry.Share) {
	c.retryShares[name] = share
	if s, found := c.services[name]; found {
		s.budget.Share = share
	}
}

// chargeBudget charges a retry to the budget and reports whether the budget covers
// it. A first attempt adds to the budget instead.
func (c *Controller) chargeBudget(t eval.Context, s *service, a Attempt) bool {
	switch {
	case !c.retryBudgetEnabled:
		return true
	case a.Retry:
		return s.budget.Spend(t.Now)
	default:
		s.budget.Earn(t.Now, s.earnPercent)
		s.budget.Charge(t.Now, a.RetryShare)
		return true
	}
}

// refundBudget reverts chargeBudget for an attempt that reached no backend server.
func (c *Controller) refundBudget(t eval.Context, s *service, a Attempt) {
	switch {
	case !c.retryBudgetEnabled:
	case a.Retry:
		s.budget.Refund()
	default:
		s.budget.UndoEarn(s.earnPercent)
		s.budget.Charge(t.Now, -a.RetryShare)
	}
}

// RetryShare returns the share of the running attempts that are retries, or calls that
// retries have caused. A call that a backend server makes for one of them is such a call
// with this probability: it does not say for which one it is made.
func (c *Controller) RetryShare() float64 {
	retries, running := 0.0, 0
	for _, h := range c.active {
		if h.server == "" {
			continue
		}
		running++
		retries += h.retryShare()
	}
	if running == 0 {
		return 0
	}
	return retries / float64(running)
}

// retryShare returns 1 for a retry, otherwise the probability that a retry has caused it.
func (a *Attempt) retryShare() float64 {
	if a.Retry {
		return 1
	}
	return a.RetryShare
}
