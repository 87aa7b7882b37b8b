package floor_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/fake/check"
	"github.com/figwick/figwick/internal/policy/floor"
	"github.com/figwick/figwick/internal/state/store"
)

// reportTTL is how old a node's report about another's servers may be: the lease of a
// directory's records.
const reportTTL = 15 * time.Second

var epoch = time.Unix(1_000_000, 0)

// simulation runs several nodes' holders on one Ledger. An adversary controls the order and
// the loss of messages.
type simulation struct {
	t         *rapid.T
	choices   *check.UniformRand
	now       time.Time
	floor     int
	ledger    floor.Ledger
	version   int
	nodes     []*simNode
	storeDown bool
	// ejections counts ejections, so that the test can check that there were enough.
	ejections int
	trace     []string
	// saved is a copy of the Ledger from which the store may come back. It is nil in tests
	// without restores.
	saved *floor.Ledger
	// restoresLeft is how often the store still comes back from one of the copies without any
	// node being told. Its versions are then given out again, in another era.
	restoresLeft int
	era          store.Era
	copies       []storeCopy
}

// logf adds to the trace that is printed if the floor is violated.
func (w *simulation) logf(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%s ", w.now.Sub(epoch))+fmt.Sprintf(format, args...))
}

// simNode is one node: its holder, its servers and the reports it has about other nodes.
type simNode struct {
	holder  *floor.Holder
	id      ident.Node
	alive   map[ident.Backend]bool
	ejected map[ident.Backend]bool
	reports map[int]report
	dead    bool
	// write is a write in flight: the edited Ledger and the version that it replaces.
	write *write
}

type write struct {
	ledger  floor.Ledger
	version int
	era     store.Era
}

// report is what one node knows about another's servers, and since when.
type report struct {
	at               time.Time
	alive, inService int
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, choices: check.NewUniformRand(t), now: epoch, era: 1}
	nodes := w.choices.Between(2, 5)
	total := 0
	for i := range nodes {
		n := &simNode{id: ident.Node(fmt.Sprintf("n%d", i))}
		n.restart(1)
		for j := range w.choices.Between(1, 4) {
			n.alive[ident.Backend(fmt.Sprintf("n%d-%d", i, j))] = true
			total++
		}
		n.syncBackends()
		w.nodes = append(w.nodes, n)
	}
	w.floor = max(1, total-w.choices.Between(0, 3))
	return w
}

func (n *simNode) restart(instance int) {
	n.holder = &floor.Holder{Node: n.id, Instance: ident.Instance(instance)}
	n.alive = map[ident.Backend]bool{}
	n.ejected = map[ident.Backend]bool{}
	n.reports = map[int]report{}
	n.write = nil
}

func (n *simNode) syncBackends() {
	var ids []ident.Backend
	for id := range n.alive {
		ids = append(ids, id)
	}
	n.holder.SetBackends(ids)
}

func (n *simNode) counts() (alive, inService int) {
	for id := range n.alive {
		alive++
		if !n.ejected[id] {
			inService++
		}
	}
	return alive, inService
}

// view returns what a node knows: its own servers, and the others' from fresh reports.
func (w *simulation) view(n *simNode) floor.View {
	v := floor.View{Floor: w.floor}
	_, v.InService = n.counts()
	for i, other := range w.nodes {
		last, known := n.reports[i]
		if known && w.now.Sub(last.at) < reportTTL {
			v.Others = append(v.Others, floor.NodeCounts{Node: other.id, Alive: last.alive, InService: last.inService})
		}
	}
	return v
}

func (w *simulation) randomNode() *simNode {
	return w.nodes[w.choices.IntN(len(w.nodes))]
}

func (w *simulation) step() {
	if w.restoresLeft > 0 && w.choices.Chance(restorePercent) {
		w.restoreUnnoticed()
	}
	n := w.randomNode()
	switch w.choices.IntN(20) {
	case 0, 1, 2, 3:
		w.read(n)
	case 4, 5, 6, 7:
		w.deliver(n)
	case 8, 9, 10, 11:
		w.eject(n)
	case 12:
		w.restore(n)
	case 13, 14:
		w.receiveReport(n, w.choices.IntN(len(w.nodes)))
	case 15, 16:
		for i := range w.nodes {
			w.receiveReport(n, i)
		}
	case 17:
		w.injectFault(n)
	default:
		w.advanceTime()
	}
	w.endUncoveredEjections()
}

// read lets a node read the Ledger and send its write.
func (w *simulation) read(n *simNode) {
	if n.dead || w.storeDown || n.write != nil || !n.holder.WriteDue(w.now) {
		return
	}
	ledger := w.ledger.Clone()
	ledger.NoteEra(w.era)
	n.holder.PrepareWrite(w.now, w.floor, nil, &ledger)
	n.write = &write{ledger: ledger, version: w.version, era: w.era}
	w.logf("%s writes %+v over %d", n.id, ledger, w.version)
}

// deliver lets a write reach the store. Its reply may be lost, and is not usable if the store
// has come back from an older copy since the Ledger was read.
func (w *simulation) deliver(n *simNode) {
	if n.write == nil {
		return
	}
	sent := n.write
	n.write = nil
	accepted := !w.storeDown && sent.version == w.version
	if accepted {
		w.copies = append(w.copies, storeCopy{ledger: w.ledger, version: w.version})
		w.ledger = sent.ledger
		w.version++
	}
	w.logf("%s: accepted %v, away %v, dead %v", n.id, accepted, w.storeDown, n.dead)
	if n.dead {
		return
	}
	if w.storeDown || accepted && sent.era != w.era || w.choices.IntN(4) == 0 {
		w.logf("%s: reply lost", n.id)
		n.holder.ReplyLost()
		return
	}
	n.holder.WriteDone(accepted)
}

// eject ejects a server if the holder allows it. It checks the guarantee under test: the
// servers that are really in service in the whole fleet don't fall below the floor.
func (w *simulation) eject(n *simNode) {
	if n.dead {
		return
	}
	id, found := pick(w.choices, n.alive, func(id ident.Backend) bool { return !n.ejected[id] })
	if !found || !n.holder.Spend(w.now, id, w.view(n)) {
		return
	}
	n.ejected[id] = true
	w.ejections++
	w.logf("%s ejects %s with view %+v, tokens %d", n.id, id, w.view(n), n.holder.Tokens(w.now))
	left, unreported := 0, 0
	for i, other := range w.nodes {
		unreported += w.unreportedLosses(n, i, other)
		_, inService := other.counts()
		if !other.dead {
			left += inService
		}
	}
	if left+unreported < w.floor {
		w.t.Fatalf("%d in service, floor %d, %d losses were news\n%s",
			left, w.floor, unreported, strings.Join(w.trace, "\n"))
	}
}

// unreportedLosses returns how many of another node's servers have died or moved away since
// the report that the ejecting node has about it. No holder can account for those.
func (w *simulation) unreportedLosses(n *simNode, i int, other *simNode) int {
	last, known := n.reports[i]
	if other == n || !known || w.now.Sub(last.at) >= reportTTL {
		return 0
	}
	alive, _ := other.counts()
	return max(0, last.alive-alive)
}

func (w *simulation) restore(n *simNode) {
	id, found := pick(w.choices, n.alive, func(id ident.Backend) bool { return n.ejected[id] })
	if !found || n.dead {
		return
	}
	w.logf("%s returns %s", n.id, id)
	delete(n.ejected, id)
	n.holder.Refund(id)
}

// receiveReport gives n the current state of node i, unless one of them is dead.
func (w *simulation) receiveReport(n *simNode, i int) {
	from := w.nodes[i]
	if from == n || from.dead || n.dead {
		return
	}
	alive, inService := from.counts()
	w.logf("%s hears %s: %d, %d", n.id, from.id, alive, inService)
	n.reports[i] = report{at: w.now, alive: alive, inService: inService}
}

// injectFault kills a server or a node, toggles the store's outage, or leaps in time.
func (w *simulation) injectFault(n *simNode) {
	switch w.choices.IntN(5) {
	case 0:
		id, found := pick(w.choices, n.alive, func(ident.Backend) bool { return true })
		if !found || n.dead {
			return
		}
		w.logf("%s dies", id)
		delete(n.alive, id)
		delete(n.ejected, id)
		n.holder.Refund(id)
		n.syncBackends()
	case 1:
		w.storeDown = !w.storeDown
	case 2:
		w.crash(n)
	case 3:
		w.now = w.now.Add(floor.Lease / 2)
	case 4:
		w.now = w.now.Add(floor.Lease + time.Minute)
	}
}

// restoreStore copies the Ledger, or lets the store come back from the copy. All nodes learn of that
// at once, and those that have spent tokens write their entries again, while others try to eject
// servers. It does nothing while the store is away.
func (w *simulation) restoreStore() {
	if w.storeDown {
		return
	}
	if w.choices.IntN(8) > 0 {
		copied := w.ledger.Clone()
		w.saved = &copied
		return
	}
	w.ledger = w.saved.Clone()
	w.version++
	w.logf("the store comes back with %+v", w.ledger)
	for _, n := range w.nodes {
		n.write = nil
		n.holder.StoreRestored(w.now)
	}
	w.now = w.now.Add(3 * time.Second)
	for _, n := range w.nodes {
		w.eject(w.randomNode())
		if len(n.holder.Spent()) == 0 {
			continue
		}
		w.read(n)
		if n.write != nil {
			w.ledger = n.write.ledger
			w.version++
			n.write = nil
			n.holder.WriteDone(true)
		}
	}
}

// crash ends a node. Its servers move to another node and are in service again.
func (w *simulation) crash(n *simNode) {
	to := w.randomNode()
	if n.dead || to == n || to.dead {
		return
	}
	for id := range n.alive {
		to.alive[id] = true
	}
	to.syncBackends()
	w.logf("%s crashes, its servers go to %s", n.id, to.id)
	n.restart(2)
	n.dead = true
}

func (w *simulation) advanceTime() {
	w.now = w.now.Add(time.Duration(w.choices.Between(1, 20)) * time.Second)
}

// endUncoveredEjections ends the ejections that are no longer covered by a token, as a node
// does on every tick before it acts.
func (w *simulation) endUncoveredEjections() {
	for _, n := range w.nodes {
		for _, id := range n.holder.RevokeUncovered(w.now) {
			delete(n.ejected, id)
		}
	}
}

func pick(d *check.UniformRand, ids map[ident.Backend]bool, match func(ident.Backend) bool) (ident.Backend, bool) {
	var list []ident.Backend
	for id := range ids {
		if match(id) {
			list = append(list, id)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	sortIDs(list)
	return list[d.IntN(len(list))], true
}

func sortIDs(list []ident.Backend) {
	for i := range list {
		for j := i; j > 0 && list[j] < list[j-1]; j-- {
			list[j], list[j-1] = list[j-1], list[j]
		}
	}
}

// TestFloorHolds checks that the floor holds while an adversary orders reads, writes, lost
// replies, outages, crashes, leaps in time and stale views of several nodes.
func TestFloorHolds(t *testing.T) {
	ejections := 0
	check.Run(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range w.choices.Between(50, 300) {
			w.step()
		}
		ejections += w.ejections
	})
	assert.Check(t, ejections > 100, "only %d ejections", ejections)
}

// TestFloorHoldsAfterRestore guards against two nodes that eject servers with the same tokens: the
// store came back from a copy from before it granted them to the first, and granted them again.
func TestFloorHoldsAfterRestore(t *testing.T) {
	ejections := 0
	check.Run(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.saved = &floor.Ledger{}
		for range w.choices.Between(200, 1000) {
			w.step()
			if w.choices.IntN(10) == 0 {
				w.restoreStore()
			}
		}
		ejections += w.ejections
	})
	assert.Check(t, ejections > 100, "only %d ejections", ejections)
}

// TestLostTokensAreNotGrantedTwice guards against two nodes that eject servers with the same token: the
// store came back from a copy from before it granted the token to the first, and grants it again. The
// first may have spent it or not.
func TestLostTokensAreNotGrantedTwice(t *testing.T) {
	for _, spent := range []bool{false, true} {
		now := epoch
		var ledger floor.Ledger
		a := &floor.Holder{Node: "a", Instance: 1}
		b := &floor.Holder{Node: "b", Instance: 1}
		a.SetBackends([]ident.Backend{"a-1", "a-2"})
		b.SetBackends([]ident.Backend{"b-1", "b-2"})
		write := func(h *floor.Holder, floor int) {
			now = now.Add(5 * time.Second)
			if h.WriteDue(now) {
				h.PrepareWrite(now, floor, nil, &ledger)
				h.WriteDone(true)
			}
		}
		view := func(other ident.Node) floor.View {
			return floor.View{Floor: 3, InService: 2, Others: []floor.NodeCounts{{Node: other, Alive: 2, InService: 2}}}
		}
		write(a, 4)
		write(b, 4)
		saved := ledger.Clone()
		write(a, 3)
		assert.Equal(t, a.Tokens(now), 1)
		if spent {
			assert.Assert(t, a.Spend(now, "a-1", view("b")))
		}

		ledger = saved
		a.StoreRestored(now)
		b.StoreRestored(now)
		for range 20 {
			write(b, 3)
			write(a, 3)
			b.Spend(now, "b-1", view("a"))
			a.Spend(now, "a-1", view("b"))
		}
		assert.Equal(t, len(a.Spent())+len(b.Spent()), 1)
	}
}

// TestTokensComeBack removes the node that holds all tokens. Another node gets them once the
// dead node's entry has been unchanged for its lease.
func TestTokensComeBack(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var ledger floor.Ledger
	first := &floor.Holder{Node: "a", Instance: 1}
	first.SetBackends([]ident.Backend{"a1", "a2"})
	first.PrepareWrite(now, 3, nil, &ledger)
	first.WriteDone(true)
	second := &floor.Holder{Node: "b", Instance: 1}
	second.SetBackends([]ident.Backend{"b1", "b2"})
	second.PrepareWrite(now, 3, nil, &ledger)
	second.WriteDone(true)
	first.PrepareWrite(now, 3, nil, &ledger)
	first.WriteDone(true)
	assert.Equal(t, first.Tokens(now)+second.Tokens(now), 1)

	// The backend servers of a move to b. The token of a stays locked until the lease and the
	// margin have passed.
	second.SetBackends([]ident.Backend{"a1", "a2", "b1", "b2"})
	second.SetTokensNeeded(1)
	for range 200 {
		now = now.Add(5 * time.Minute)
		if !second.WriteDue(now) {
			continue
		}
		second.PrepareWrite(now, 3, []ident.Node{"a"}, &ledger)
		second.WriteDone(true)
		if second.Tokens(now) == 1 {
			assert.Equal(t, first.Tokens(now), 0, "the dead node's token ended before it was granted again")
			return
		}
	}
	t.Fatal("the token is lost for good")
}

// TestPausedHolderHasNothing pauses a holder for longer than its lease.
func TestPausedHolderHasNothing(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var ledger floor.Ledger
	h := &floor.Holder{Node: "a", Instance: 1}
	h.SetBackends([]ident.Backend{"a1", "a2"})
	h.PrepareWrite(now, 1, nil, &ledger)
	h.WriteDone(true)
	view := floor.View{InService: 2, Floor: 1}
	assert.Check(t, h.Spend(now, "a1", view))
	now = now.Add(floor.Lease)
	assert.DeepEqual(t, h.RevokeUncovered(now), []ident.Backend{"a1"})
	assert.Check(t, !h.Spend(now, "a2", view))
}

// TestFullLedgerIsWrittenRarely counts the store writes of a node that cannot get a token.
func TestFullLedgerIsWrittenRarely(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var ledger floor.Ledger
	h := &floor.Holder{Node: "a", Instance: 1}
	h.SetBackends([]ident.Backend{"a1"})
	calls := 0
	for end := now.Add(24 * time.Hour); now.Before(end); now = now.Add(time.Second) {
		if h.WriteDue(now) {
			h.PrepareWrite(now, 5, nil, &ledger)
			h.WriteDone(true)
			calls++
		}
	}
	assert.Check(t, calls < 320, "%d writes in a day", calls)
}
