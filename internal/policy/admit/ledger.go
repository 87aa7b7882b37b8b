package admit

import (
	"time"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/floor"
)

// LedgersDue returns the services whose floor ledger should be read and written
// now.
func (c *Controller) LedgersDue(now time.Time) []ident.Service {
	var due []ident.Service
	for _, name := range c.serviceNames() {
		if c.services[name].tokens.WriteDue(now) {
			due = append(due, name)
		}
	}
	return due
}

// UpdateLedger updates b, a floor ledger that was just read from the store, with
// this node's entry. The caller must then write it by compare-and-swap and report
// the result with LedgerWritten or LedgerReplyLost. The dead are the nodes that the
// fleet considers dead. UpdateLedger returns false if the service is unknown.
func (c *Controller) UpdateLedger(now time.Time, name ident.Service, dead []ident.Node, b *floor.Ledger) bool {
	s, found := c.services[name]
	if !found {
		return false
	}
	s.tokens.PrepareWrite(now, s.floor, dead, b)
	return true
}

// LedgerWritten records whether the store accepted the write.
func (c *Controller) LedgerWritten(name ident.Service, accepted bool) {
	if s, found := c.services[name]; found {
		s.tokens.WriteDone(accepted)
	}
}

// StoreRestored records that the store has come back from an older copy, so that the
// ledgers may lack this node's latest tokens.
func (c *Controller) StoreRestored(now time.Time) {
	for _, name := range c.serviceNames() {
		c.services[name].tokens.StoreRestored(now)
	}
}

// LedgerReplyLost records that the reply to the write was lost, so that the store
// may or may not have accepted it.
func (c *Controller) LedgerReplyLost(name ident.Service) {
	if s, found := c.services[name]; found {
		s.tokens.ReplyLost()
	}
}
