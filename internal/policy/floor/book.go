package floor

import (
	"cmp"
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

const (
	// Lease is how long a granted token is good without renewal. It outlasts
	// the store's longer outages.
	Lease = 6 * time.Hour
	// Margin is what an observer waits beyond the Lease: the drift of two
	// monotonic clocks over a Lease, with room to spare.
	Margin = 5 * time.Minute
)

type (
	// Entry is one node's part of a Book.
	Entry struct {
		Node     ident.Node     `json:"node"`
		Instance ident.Instance `json:"instance"`
		// Backends are the backend servers of the service that are announced to
		// the node.
		Backends []ident.Backend `json:"backends"`
		// Tokens is how many of them it may eject.
		Tokens int `json:"tokens"`
		// Round grows with each renewal, so that observers see it live.
		Round uint64 `json:"round"`
	}

	// Book shares out one service's budget.
	Book struct {
		Floor   int     `json:"floor"`
		Entries []Entry `json:"entries"`
	}
)

// Free returns how many tokens the Book has left to grant. It is negative where
// backend servers have gone since tokens were granted.
func (b *Book) Free() int {
	tokens := 0
	for _, e := range b.Entries {
		tokens += e.Tokens
	}
	return b.Backends() - b.Floor - tokens
}

// Backends returns how many backend servers the Book counts. One that moved
// from a node to another counts once.
func (b *Book) Backends() int {
	counted := map[ident.Backend]struct{}{}
	for _, e := range b.Entries {
		for _, id := range e.Backends {
			counted[id] = struct{}{}
		}
	}
	return len(counted)
}

// Find returns a node's entry.
func (b *Book) Find(node ident.Node) (Entry, bool) {
	for _, e := range b.Entries {
		if e.Node == node {
			return e, true
		}
	}
	return Entry{}, false
}

// Set replaces a node's entry and grants it at most the tokens it wants. It
// never takes away what the node must keep.
func (b *Book) Set(e Entry, keep int) Entry {
	b.Strike(e.Node)
	wanted := e.Tokens
	e.Tokens = 0
	b.Entries = append(b.Entries, e)
	last := &b.Entries[len(b.Entries)-1]
	last.Tokens = max(keep, min(wanted, b.Free()), 0)
	e = *last
	slices.SortFunc(b.Entries, func(a, b Entry) int { return cmp.Compare(a.Node, b.Node) })
	return e
}

// Empty takes the backend servers off a node's entry and leaves its tokens.
// That only lowers the budget, so it is safe also where the node lives.
func (b *Book) Empty(node ident.Node) {
	for i := range b.Entries {
		if b.Entries[i].Node == node {
			b.Entries[i].Backends = nil
		}
	}
}

// Strike removes a node's entry.
func (b *Book) Strike(node ident.Node) {
	b.Entries = slices.DeleteFunc(b.Entries, func(e Entry) bool { return e.Node == node })
}

// Clone returns a copy that shares nothing.
func (b *Book) Clone() Book {
	c := Book{Floor: b.Floor, Entries: slices.Clone(b.Entries)}
	for i := range c.Entries {
		c.Entries[i].Backends = slices.Clone(c.Entries[i].Backends)
	}
	return c
}

// Watch observes a Book's entries over time to find those whose node is gone.
// The zero value is ready.
type Watch struct {
	seen map[ident.Node]observed
}

type observed struct {
	instance ident.Instance
	round    uint64
	since    time.Time
}

// Stale returns the nodes whose entries have not changed for Lease and Margin.
func (w *Watch) Stale(now time.Time, b *Book) []ident.Node {
	next := make(map[ident.Node]observed, len(b.Entries))
	var stale []ident.Node
	for _, e := range b.Entries {
		o, known := w.seen[e.Node]
		if !known || o.instance != e.Instance || o.round != e.Round {
			o = observed{instance: e.Instance, round: e.Round, since: now}
		}
		next[e.Node] = o
		if now.Sub(o.since) >= Lease+Margin {
			stale = append(stale, e.Node)
		}
	}
	w.seen = next
	return stale
}
