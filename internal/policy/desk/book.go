package desk

import (
	"time"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/floor"
)

// BookWants returns the services whose Book should be read and written now.
func (d *Desk) BookWants(now time.Time) []ident.Service {
	var wants []ident.Service
	for _, name := range d.names() {
		if d.services[name].holder.WriteDue(now) {
			wants = append(wants, name)
		}
	}
	return wants
}

// BookWrite edits a Book that was just read, for a compare-and-swap.
func (d *Desk) BookWrite(now time.Time, name ident.Service, dead []ident.Node, b *floor.Ledger) bool {
	s, found := d.services[name]
	if !found {
		return false
	}
	s.holder.PrepareWrite(now, s.floor, dead, b)
	return true
}

// BookWrote tells whether the write was accepted.
func (d *Desk) BookWrote(name ident.Service, accepted bool) {
	if s, found := d.services[name]; found {
		s.holder.WriteDone(accepted)
	}
}

// BookLost tells that the reply to the write was lost.
func (d *Desk) BookLost(name ident.Service) {
	if s, found := d.services[name]; found {
		s.holder.ReplyLost()
	}
}
