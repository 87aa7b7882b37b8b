package floor

import (
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/state/store"
)

const (
	// renewInterval is the time between two renewals of an entry. Two renewals may fail within
	// a Lease.
	renewInterval = Lease / 3
	// minWriteInterval is the shortest time between two attempts to write the Ledger.
	minWriteInterval = 2 * time.Second
	// maxWriteInterval limits the doubling of that time while the Ledger has no free token.
	maxWriteInterval = 5 * time.Minute
	// restoreSettleTime is how long after the store has come back from an older copy a node
	// takes no further tokens. Until then the nodes that have spent some write their entries
	// again.
	restoreSettleTime = 30 * time.Second
	// spareTokens is how many tokens a node holds beyond those it has spent.
	spareTokens = 1
)

type (
	// Holder manages one node's tokens for one service. It is not safe for concurrent use.
	Holder struct {
		Node     ident.Node
		Instance ident.Instance

		backends        []ident.Backend
		tokens          int
		round           uint64
		expiresAt       time.Time
		nextChangeWrite time.Time
		nextTokenWrite  time.Time
		deniedWrites    int
		needed          int
		renewAt         time.Time
		spent           []ident.Backend
		written         Entry
		synced          bool
		staleDetector   StaleDetector
		pending         *pending
		// settledAt is the end of restoreSettleTime after the last restore of the store.
		settledAt time.Time
		// grantLedgers are the Ledgers that the tokens may have been granted from: the one of
		// the last accepted write, and those of later writes whose reply was lost.
		grantLedgers []Ledger
		// unsettledEra is the era of an unsettled Ledger, zero if the last one was settled, and
		// unsettledSince when it was first read. earlierLedgers are the grantLedgers from before.
		unsettledEra   store.Era
		unsettledSince time.Time
		earlierLedgers []Ledger
	}

	// pending is a write in flight.
	pending struct {
		entry  Entry
		sentAt time.Time
		ledger Ledger
	}

	// View is what a node knows of a service when it is about to eject a server.
	View struct {
		// Others are the other nodes with recent reports.
		Others []NodeCounts
		// InService is the number of servers in service behind this node, including the one to
		// be ejected.
		InService int
		Floor     int
	}

	// NodeCounts holds the number of a service's servers behind another node.
	NodeCounts struct {
		Node ident.Node `json:"node"`
		// Alive is the number of servers that were reported recently, in service or not.
		Alive int `json:"alive"`
		// InService is the number of those in service.
		InService int `json:"in-service"`
	}
)

// SetBackends sets the backend servers of the service that are registered with this node.
func (h *Holder) SetBackends(ids []ident.Backend) {
	h.backends = slices.Sorted(slices.Values(ids))
}

// SetTokensNeeded sets how many unhealthy servers wait for a token. A rise ends the backoff
// between writes.
func (h *Holder) SetTokensNeeded(n int) {
	if n > h.needed {
		h.deniedWrites = 0
		h.nextTokenWrite = time.Time{}
	}
	h.needed = n
}

// WriteDue reports whether the Ledger should be read and written now.
func (h *Holder) WriteDue(now time.Time) bool {
	if h.pending != nil {
		return false
	}
	changed := h.synced && !slices.Equal(h.backends, h.written.Backends)
	if changed && !now.Before(h.nextChangeWrite) {
		return true
	}
	if now.Before(h.nextTokenWrite) {
		return false
	}
	if !h.synced {
		return len(h.backends) > 0
	}
	if h.renewDue(now) {
		return true
	}
	return h.tokenGoal(now) != h.validTokens(now) && len(h.backends) > 0
}

// PrepareWrite edits a Ledger that has just been read and returns this node's entry. The
// caller must write the Ledger by compare-and-swap and then call WriteDone or ReplyLost. The
// dead are nodes that the fleet regards as dead; their backend servers no longer count.
func (h *Holder) PrepareWrite(now time.Time, floor int, dead []ident.Node, ledger *Ledger) Entry {
	ledger.Floor = floor
	for _, node := range h.staleDetector.Stale(now, ledger) {
		if node != h.Node {
			ledger.Remove(node)
		}
	}
	for _, node := range dead {
		ledger.ClearBackends(node)
	}
	h.settle(now, ledger)
	h.round++
	e := Entry{Node: h.Node, Instance: h.Instance, Backends: h.backends, Tokens: h.tokenGoal(now), Renewals: h.round}
	if ledger.Unsettled {
		e.Tokens = min(e.Tokens, h.validTokens(now))
	}
	keep := min(len(h.spent), h.validTokens(now))
	e = ledger.Set(e, keep)
	h.pending = &pending{entry: e, sentAt: now, ledger: ledger.Clone()}
	h.nextChangeWrite = now.Add(minWriteInterval)
	h.nextTokenWrite = h.nextChangeWrite
	return e
}

// settle marks an unsettled Ledger as settled once the tokens that it may lack have ended. Until
// then a node keeps the tokens that it has, and gets no others. A node that has not heard of the
// restore may still use its own.
func (h *Holder) settle(now time.Time, ledger *Ledger) {
	if ledger.Unsettled && h.unsettledEra != ledger.Era {
		h.unsettledEra, h.unsettledSince = ledger.Era, now
		h.earlierLedgers = h.grantLedgers
	}
	if ledger.Unsettled && now.Sub(h.unsettledSince) >= Lease+Margin {
		ledger.Unsettled = false
	}
	if !ledger.Unsettled {
		h.unsettledEra = 0
		h.earlierLedgers = nil
	}
}

// WriteDone records whether the store accepted the write.
func (h *Holder) WriteDone(accepted bool) {
	p := h.pending
	h.pending = nil
	if p == nil || !accepted {
		return
	}
	h.written = p.entry
	h.synced = true
	h.tokens = p.entry.Tokens
	h.grantLedgers = append(slices.Clone(h.earlierLedgers), p.ledger)
	h.expiresAt = p.sentAt.Add(Lease)
	h.renewAt = p.sentAt.Add(renewInterval)
	h.deniedWrites++
	if h.tokens >= h.tokenGoal(p.sentAt) {
		h.deniedWrites = 0
	}
	h.nextTokenWrite = p.sentAt.Add(min(minWriteInterval<<min(h.deniedWrites, 10), maxWriteInterval))
}

// ReplyLost records that the reply to a write was lost. Until the Ledger has been read again,
// the node uses only the tokens it certainly has: the fewer of old and new.
func (h *Holder) ReplyLost() {
	if h.pending == nil {
		return
	}
	h.tokens = min(h.tokens, h.pending.entry.Tokens)
	h.grantLedgers = append(h.grantLedgers, h.pending.ledger)
	h.pending = nil
	h.synced = false
}

// StoreRestored records that the store has come back from an older copy: the Ledger may lack this
// node's latest tokens, and grant them to another node. The node keeps those that it has spent,
// writes its entry again, and takes no others until the other nodes have done so too.
func (h *Holder) StoreRestored(now time.Time) {
	h.ReplyLost()
	h.tokens = min(h.tokens, len(h.spent))
	h.synced = false
	h.deniedWrites = 0
	h.settledAt = now.Add(restoreSettleTime)
	h.nextTokenWrite = h.settledAt
	if len(h.spent) > 0 {
		h.nextTokenWrite = time.Time{}
	}
}

// Spend takes a token to eject a server. It returns false if no valid token is left or if the
// ejection would take the service below its floor in the given view. A server that holds a
// token already needs no second one.
func (h *Holder) Spend(now time.Time, id ident.Backend, v View) bool {
	if slices.Contains(h.spent, id) {
		return true
	}
	if len(h.spent) >= h.usableTokens(now, v) || v.totalInService()-1 < v.Floor {
		return false
	}
	h.spent = append(h.spent, id)
	return true
}

// Refund returns the token of a server that has returned to service, left or died.
func (h *Holder) Refund(id ident.Backend) {
	h.spent = slices.DeleteFunc(h.spent, func(s ident.Backend) bool { return s == id })
}

// RevokeUncovered returns the servers whose ejection is no longer covered by a valid token, for
// instance after a pause longer than the Lease, and takes their tokens away. The caller must
// end these ejections.
func (h *Holder) RevokeUncovered(now time.Time) []ident.Backend {
	covered := h.validTokens(now)
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

// Tokens returns how many tokens are valid now, spent ones included.
func (h *Holder) Tokens(now time.Time) int {
	return h.validTokens(now)
}

// Empty reports whether the holder has no servers left here and nothing in the Ledger.
func (h *Holder) Empty() bool {
	return len(h.backends) == 0 && len(h.written.Backends) == 0 && h.written.Tokens == 0
}

func (h *Holder) validTokens(now time.Time) int {
	if !now.Before(h.expiresAt) {
		return 0
	}
	if h.pending != nil {
		return min(h.tokens, h.pending.entry.Tokens)
	}
	return h.tokens
}

// usableTokens returns the valid tokens minus the budget that has been lost since they were
// granted: servers that have gone, and a floor that has been raised.
func (h *Holder) usableTokens(now time.Time, v View) int {
	lost := 0
	for i := range h.grantLedgers {
		lost = max(lost, h.lostCapacity(&h.grantLedgers[i], v))
	}
	if h.pending != nil {
		lost = max(lost, h.lostCapacity(&h.pending.ledger, v))
	}
	return h.validTokens(now) - lost
}

// lostCapacity returns how much of a Ledger's budget has been lost since. A node that loses
// servers covers the loss with its own unspent tokens. Every other node deducts the rest in
// full, since it cannot know whether another node does. A node without a recent report counts
// as having lost all its servers.
func (h *Holder) lostCapacity(ledger *Ledger, v View) int {
	lost := max(0, v.Floor-ledger.Floor) + max(0, -ledger.FreeTokens())
	for _, e := range ledger.Entries {
		if e.Node == h.Node {
			lost += h.ownLosses(e)
			continue
		}
		counts := v.nodeCounts(e.Node)
		unspent := max(0, e.Tokens-(counts.Alive-counts.InService))
		lost += max(0, len(e.Backends)-counts.Alive-unspent)
	}
	return lost
}

// ownLosses returns how many servers of this node's entry have gone.
func (h *Holder) ownLosses(e Entry) int {
	lost := 0
	for _, id := range e.Backends {
		if _, here := slices.BinarySearch(h.backends, id); !here {
			lost++
		}
	}
	return lost
}

func (v *View) nodeCounts(node ident.Node) NodeCounts {
	for _, counts := range v.Others {
		if counts.Node == node {
			return counts
		}
	}
	return NodeCounts{Node: node}
}

func (v *View) totalInService() int {
	sum := v.InService
	for _, counts := range v.Others {
		sum += counts.InService
	}
	return sum
}

func (h *Holder) renewDue(now time.Time) bool {
	return len(h.backends) > 0 && !now.Before(h.renewAt)
}

// tokenGoal is how many tokens the node wants: those spent, plus the larger of spareTokens and
// the number of unhealthy servers that wait for one, but not more than it has servers. After a
// restore of the store it is those spent.
func (h *Holder) tokenGoal(now time.Time) int {
	if now.Before(h.settledAt) {
		return len(h.spent)
	}
	return min(len(h.spent)+max(spareTokens, h.needed), len(h.backends))
}
