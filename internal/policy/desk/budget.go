package desk

import (
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/policy/retry"
)

// ShareBudget makes the Desk pay for second sends, from its part of what the
// fleet may do. A fresh fleet has spent nothing before. It is called before
// anything else.
func (d *Desk) ShareBudget(fresh bool) {
	d.shared = true
	d.fresh = fresh
	d.shares = map[ident.Service]retry.Share{}
}

// SetShare sets the part of a service's second sends.
func (d *Desk) SetShare(name ident.Service, share retry.Share) {
	d.shares[name] = share
	if s, found := d.services[name]; found {
		s.budget.Share = share
	}
}

// pay takes a second send from the budget, or reports that it does not cover it.
// A first send earns.
func (d *Desk) pay(t turn.Turn, s *service, a Attempt) bool {
	switch {
	case !d.shared:
		return true
	case a.Again:
		return s.budget.Spend(t.Now)
	default:
		s.budget.Earn(t.Now, s.earned)
		return true
	}
}

// unpay gives back what was taken for an attempt that reached no backend server.
func (d *Desk) unpay(s *service, a Attempt) {
	switch {
	case !d.shared:
	case a.Again:
		s.budget.Refund()
	default:
		s.budget.UndoEarn(s.earned)
	}
}
