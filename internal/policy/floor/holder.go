package floor

import (
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

const (
	// renewEvery is how often an entry is renewed; two renewals may fail
	// within a Lease.
	renewEvery = Lease / 3
	// askEvery is the least time between two tries to write the Book.
	askEvery = 2 * time.Second
	// mostAsk bounds the doubling of that time while the Book has no token
	// left.
	mostAsk = 5 * time.Minute
	// spare is how many tokens a node holds beyond those it has spent.
	spare = 1
)

type (
	// Holder is one node's tokens for one service. It is not safe for
	// concurrent use.
	Holder struct {
		Node     ident.Node
		Instance ident.Instance

		backends []ident.Backend
		tokens   int
		round    uint64
		goodTill time.Time
		askAt    time.Time
		nextAsk  time.Time
		denied   int
		need     int
		renewAt  time.Time
		spent    []ident.Backend
		written  Entry
		known    bool
		watch    Watch
		pending  *pending
		// bases are the Books that the tokens may rest on: the one of the last
		// accepted write, and those of writes since whose reply was lost.
		bases []Book
	}

	// pending is a write on its way.
	pending struct {
		entry Entry
		sent  time.Time
		book  Book
	}

	// View is what a node knows of a service when it wants to eject.
	View struct {
		// Others are the other nodes that were heard of lately.
		Others []Seen
		// InService is the servers that take work here, the one to be ejected
		// included.
		InService int
		Floor     int
	}

	// Seen is a service's servers behind another node.
	Seen struct {
		Node ident.Node `json:"node"`
		// Alive servers were heard of lately, whether they take work or not.
		Alive int `json:"alive"`
		// InService are those of them that take work.
		InService int `json:"in-service"`
	}
)

// Backends tells which backend servers of the service are announced here.
func (h *Holder) Backends(ids []ident.Backend) {
	h.backends = slices.Sorted(slices.Values(ids))
}

// Need tells how many sick servers wait for a token.
func (h *Holder) Need(n int) {
	if n > h.need {
		h.denied = 0
		h.nextAsk = time.Time{}
	}
	h.need = n
}

// Wants reports whether the Book should be read and written now.
func (h *Holder) Wants(now time.Time) bool {
	if h.pending != nil {
		return false
	}
	changed := h.known && !slices.Equal(h.backends, h.written.Backends)
	if changed && !now.Before(h.askAt) {
		return true
	}
	if now.Before(h.nextAsk) {
		return false
	}
	if !h.known {
		return len(h.backends) > 0
	}
	if h.renewDue(now) {
		return true
	}
	return h.goal() != h.valid(now) && len(h.backends) > 0
}

// Write edits a Book just read and returns the entry to be written by
// compare-and-swap. The dead are nodes that the fleet has given up; their
// backend servers no longer count. Wrote or Lost must follow with the result.
func (h *Holder) Write(now time.Time, floor int, dead []ident.Node, b *Book) Entry {
	b.Floor = floor
	for _, node := range h.watch.Stale(now, b) {
		if node != h.Node {
			b.Strike(node)
		}
	}
	for _, node := range dead {
		b.Empty(node)
	}
	h.round++
	e := Entry{Node: h.Node, Instance: h.Instance, Backends: h.backends, Tokens: h.goal(), Round: h.round}
	keep := min(len(h.spent), h.valid(now))
	e = b.Set(e, keep)
	h.pending = &pending{entry: e, sent: now, book: b.Clone()}
	h.askAt = now.Add(askEvery)
	h.nextAsk = h.askAt
	return e
}

// Wrote tells whether a write was accepted.
func (h *Holder) Wrote(accepted bool) {
	p := h.pending
	h.pending = nil
	if p == nil || !accepted {
		return
	}
	h.written = p.entry
	h.known = true
	h.tokens = p.entry.Tokens
	h.bases = []Book{p.book}
	h.goodTill = p.sent.Add(Lease)
	h.renewAt = p.sent.Add(renewEvery)
	h.denied++
	if h.tokens >= h.goal() {
		h.denied = 0
	}
	h.nextAsk = p.sent.Add(min(askEvery<<min(h.denied, 10), mostAsk))
}

// Lost tells that the reply to a write was lost. Until the Book is read again,
// the node uses no more tokens than it is sure of: the lesser of old and new.
func (h *Holder) Lost() {
	if h.pending == nil {
		return
	}
	h.tokens = min(h.tokens, h.pending.entry.Tokens)
	h.bases = append(h.bases, h.pending.book)
	h.pending = nil
	h.known = false
}

// Spend takes a token to eject a server. It reports false where there is none,
// where the tokens are void, or where the view stands at the floor already.
func (h *Holder) Spend(now time.Time, id ident.Backend, v View) bool {
	if slices.Contains(h.spent, id) {
		return true
	}
	if len(h.spent) >= h.usable(now, v) || v.inService()-1 < v.Floor {
		return false
	}
	h.spent = append(h.spent, id)
	return true
}

// Refund gives back the token of a server that has returned, left or died.
func (h *Holder) Refund(id ident.Backend) {
	h.spent = slices.DeleteFunc(h.spent, func(s ident.Backend) bool { return s == id })
}

// Void returns the servers whose ejection is no longer covered by a token and
// must end, for instance after a pause longer than the Lease.
func (h *Holder) Void(now time.Time) []ident.Backend {
	covered := h.valid(now)
	if len(h.spent) <= covered {
		return nil
	}
	void := slices.Clone(h.spent[covered:])
	h.spent = h.spent[:covered]
	return void
}

// Spent returns the servers that hold a token.
func (h *Holder) Spent() []ident.Backend {
	return slices.Clone(h.spent)
}

// Tokens returns how many tokens are good now.
func (h *Holder) Tokens(now time.Time) int {
	return h.valid(now)
}

// Gone reports whether the holder has nothing left to keep or to hand back.
func (h *Holder) Gone() bool {
	return len(h.backends) == 0 && len(h.written.Backends) == 0 && h.written.Tokens == 0
}

func (h *Holder) valid(now time.Time) int {
	if !now.Before(h.goodTill) {
		return 0
	}
	if h.pending != nil {
		return min(h.tokens, h.pending.entry.Tokens)
	}
	return h.tokens
}

// usable is the valid tokens less what they can no longer stand for: servers
// that have gone since they were granted, and a floor that has been raised.
func (h *Holder) usable(now time.Time, v View) int {
	lost := 0
	for i := range h.bases {
		lost = max(lost, h.lostSince(&h.bases[i], v))
	}
	if h.pending != nil {
		lost = max(lost, h.lostSince(&h.pending.book, v))
	}
	return h.valid(now) - lost
}

// lostSince is how much of a Book's budget has gone. Each node answers with its
// unspent tokens for its own losses; what goes beyond those, every other node takes
// upon itself in full, since it cannot know that another does. A node that is
// not heard of counts as lost whole.
func (h *Holder) lostSince(b *Book, v View) int {
	lost := max(0, v.Floor-b.Floor) + max(0, -b.Free())
	for _, e := range b.Entries {
		if e.Node == h.Node {
			lost += h.ownLoss(e)
			continue
		}
		o := v.seen(e.Node)
		unspent := max(0, e.Tokens-(o.Alive-o.InService))
		lost += max(0, len(e.Backends)-o.Alive-unspent)
	}
	return lost
}

// ownLoss is how many servers of an entry are not here any more.
func (h *Holder) ownLoss(e Entry) int {
	lost := 0
	for _, id := range e.Backends {
		if _, here := slices.BinarySearch(h.backends, id); !here {
			lost++
		}
	}
	return lost
}

func (v *View) seen(node ident.Node) Seen {
	for _, o := range v.Others {
		if o.Node == node {
			return o
		}
	}
	return Seen{Node: node}
}

func (v *View) inService() int {
	sum := v.InService
	for _, o := range v.Others {
		sum += o.InService
	}
	return sum
}

func (h *Holder) renewDue(now time.Time) bool {
	return len(h.backends) > 0 && !now.Before(h.renewAt)
}

// goal is how many tokens the node would like: those spent, and a spare one or
// those that sick servers wait for, but never more than it has servers.
func (h *Holder) goal() int {
	return min(len(h.spent)+max(spare, h.need), len(h.backends))
}
