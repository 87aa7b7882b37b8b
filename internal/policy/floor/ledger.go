package floor

import (
	"cmp"
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/state/store"
)

const (
	// Lease is how long a granted token stays valid without renewal. It is longer than the
	// longest expected outage of the store.
	Lease = 6 * time.Hour
	// Margin is how long an observer waits beyond the Lease before it removes an entry. It
	// covers the drift between two monotonic clocks over a Lease, with reserve.
	Margin = 5 * time.Minute
)

type (
	// Entry is one node's share of a Ledger.
	Entry struct {
		Node     ident.Node     `json:"node"`
		Instance ident.Instance `json:"instance"`
		// Backends are the backend servers of the service that are registered with the node.
		Backends []ident.Backend `json:"backends"`
		// Tokens is how many of the service's backend servers the node may have ejected at a time.
		Tokens int `json:"tokens"`
		// Renewals grows with each write of the entry, which shows observers that the node is
		// alive.
		Renewals uint64 `json:"round"`
	}

	// Ledger divides the ejection budget of one service among the nodes.
	Ledger struct {
		Floor   int     `json:"floor"`
		Entries []Entry `json:"entries"`
		// Era is the era of the store in which the Ledger was last written.
		Era store.Era `json:"era,omitempty"`
		// Unsettled means that the store has come back from an older copy of the Ledger, and
		// tokens that were granted since that copy may still be valid.
		Unsettled bool `json:"unsettled,omitempty"`
	}
)

// firstEra is the era of a store that has never come back from an older copy.
const firstEra store.Era = 1

// NoteEra records the era of the store in which the Ledger has just been read. It must be called
// before Holder.PrepareWrite. An unknown era changes nothing.
func (l *Ledger) NoteEra(era store.Era) {
	if era == 0 || era == l.Era {
		return
	}
	l.Unsettled = era > firstEra
	l.Era = era
}

// FreeTokens returns how many tokens the Ledger can still grant. It is negative if backend
// servers have gone since tokens were granted.
func (l *Ledger) FreeTokens() int {
	tokens := 0
	for _, e := range l.Entries {
		tokens += e.Tokens
	}
	return l.BackendCount() - l.Floor - tokens
}

// BackendCount returns the number of distinct backend servers in the Ledger. One that moved
// from one node to another is counted once.
func (l *Ledger) BackendCount() int {
	counted := map[ident.Backend]struct{}{}
	for _, e := range l.Entries {
		for _, id := range e.Backends {
			counted[id] = struct{}{}
		}
	}
	return len(counted)
}

// Find returns a node's entry, and whether there is one.
func (l *Ledger) Find(node ident.Node) (Entry, bool) {
	for _, e := range l.Entries {
		if e.Node == node {
			return e, true
		}
	}
	return Entry{}, false
}

// Set replaces a node's entry and returns it as granted: with at most e.Tokens tokens, as far
// as they are free, but never fewer than keep, the tokens that the node must not lose.
func (l *Ledger) Set(e Entry, keep int) Entry {
	l.Remove(e.Node)
	wanted := e.Tokens
	e.Tokens = 0
	l.Entries = append(l.Entries, e)
	last := &l.Entries[len(l.Entries)-1]
	last.Tokens = max(keep, min(wanted, l.FreeTokens()), 0)
	e = *last
	slices.SortFunc(l.Entries, func(a, b Entry) int { return cmp.Compare(a.Node, b.Node) })
	return e
}

// ClearBackends removes the backend servers from a node's entry and leaves its tokens. This
// only lowers the budget, so it is safe even if the node is still alive.
func (l *Ledger) ClearBackends(node ident.Node) {
	for i := range l.Entries {
		if l.Entries[i].Node == node {
			l.Entries[i].Backends = nil
		}
	}
}

// Remove deletes a node's entry.
func (l *Ledger) Remove(node ident.Node) {
	l.Entries = slices.DeleteFunc(l.Entries, func(e Entry) bool { return e.Node == node })
}

// Clone returns a deep copy.
func (l *Ledger) Clone() Ledger {
	c := *l
	c.Entries = slices.Clone(l.Entries)
	for i := range c.Entries {
		c.Entries[i].Backends = slices.Clone(c.Entries[i].Backends)
	}
	return c
}

// StaleDetector observes a Ledger's entries over time to find those whose node is gone. The
// zero value is ready for use.
type StaleDetector struct {
	seen map[ident.Node]observed
}

type observed struct {
	instance ident.Instance
	round    uint64
	since    time.Time
}

// Stale returns the nodes whose entries it has seen unchanged for Lease plus Margin.
func (w *StaleDetector) Stale(now time.Time, ledger *Ledger) []ident.Node {
	next := make(map[ident.Node]observed, len(ledger.Entries))
	var stale []ident.Node
	for _, e := range ledger.Entries {
		o, known := w.seen[e.Node]
		if !known || o.instance != e.Instance || o.round != e.Renewals {
			o = observed{instance: e.Instance, round: e.Renewals, since: now}
		}
		next[e.Node] = o
		if now.Sub(o.since) >= Lease+Margin {
			stale = append(stale, e.Node)
		}
	}
	w.seen = next
	return stale
}
