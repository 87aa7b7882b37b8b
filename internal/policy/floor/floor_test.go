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
)

// fresh is how old a node's word of another's servers may be: the lease of a
// directory's records.
const fresh = 15 * time.Second

var epoch = time.Unix(1_000_000, 0)

// world is several nodes' holders over one Book, with messages under the
// control of an adversary.
type world struct {
	t       *rapid.T
	dice    *check.Dice
	now     time.Time
	floor   int
	book    floor.Book
	version int
	nodes   []*actor
	away    bool
	// ejections counts, so that the test can tell that it tested something.
	ejections int
	trace     []string
}

// note keeps what happened, to be read where the floor breaks.
func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%s ", w.now.Sub(epoch))+fmt.Sprintf(format, args...))
}

// actor is one node: its holder, its servers and what it has heard of others.
type actor struct {
	holder  *floor.Holder
	id      ident.Node
	alive   map[ident.Backend]bool
	removed map[ident.Backend]bool
	heard   map[int]word
	dead    bool
	// write is a write on its way: the Book read and the version to replace.
	write *write
}

type write struct {
	book    floor.Book
	version int
}

// word is what one node was told of another's servers, and when.
type word struct {
	at               time.Time
	alive, inService int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, dice: check.NewDice(t), now: epoch}
	nodes := w.dice.Between(2, 5)
	total := 0
	for i := range nodes {
		n := &actor{id: ident.Node(fmt.Sprintf("n%d", i))}
		n.reset(1)
		for j := range w.dice.Between(1, 4) {
			n.alive[ident.Backend(fmt.Sprintf("n%d-%d", i, j))] = true
			total++
		}
		n.tell()
		w.nodes = append(w.nodes, n)
	}
	w.floor = max(1, total-w.dice.Between(0, 3))
	return w
}

func (n *actor) reset(instance int) {
	n.holder = &floor.Holder{Node: n.id, Instance: ident.Instance(instance)}
	n.alive = map[ident.Backend]bool{}
	n.removed = map[ident.Backend]bool{}
	n.heard = map[int]word{}
	n.write = nil
}

func (n *actor) tell() {
	var ids []ident.Backend
	for id := range n.alive {
		ids = append(ids, id)
	}
	n.holder.Backends(ids)
}

func (n *actor) counts() (alive, inService int) {
	for id := range n.alive {
		alive++
		if !n.removed[id] {
			inService++
		}
	}
	return alive, inService
}

// view is what a node knows: its own servers and fresh word of the others'.
func (w *world) view(n *actor) floor.View {
	v := floor.View{Floor: w.floor}
	_, v.InService = n.counts()
	for i, other := range w.nodes {
		heard, known := n.heard[i]
		if known && w.now.Sub(heard.at) < fresh {
			v.Others = append(v.Others, floor.Seen{Node: other.id, Alive: heard.alive, InService: heard.inService})
		}
	}
	return v
}

func (w *world) any() *actor {
	return w.nodes[w.dice.Upto(len(w.nodes))]
}

func (w *world) step() {
	n := w.any()
	switch w.dice.Upto(20) {
	case 0, 1, 2, 3:
		w.read(n)
	case 4, 5, 6, 7:
		w.deliver(n)
	case 8, 9, 10, 11:
		w.eject(n)
	case 12:
		w.restore(n)
	case 13, 14:
		w.hear(n, w.dice.Upto(len(w.nodes)))
	case 15, 16:
		for i := range w.nodes {
			w.hear(n, i)
		}
	case 17:
		w.harm(n)
	default:
		w.pass()
	}
	w.enforce()
}

// read lets a node read the Book and send its write.
func (w *world) read(n *actor) {
	if n.dead || w.away || n.write != nil || !n.holder.Wants(w.now) {
		return
	}
	book := w.book.Clone()
	n.holder.Write(w.now, w.floor, nil, &book)
	n.write = &write{book: book, version: w.version}
	w.note("%s writes %+v over %d", n.id, book, w.version)
}

// deliver lets a write arrive; its reply may be lost.
func (w *world) deliver(n *actor) {
	if n.write == nil {
		return
	}
	sent := n.write
	n.write = nil
	accepted := !w.away && sent.version == w.version
	if accepted {
		w.book = sent.book
		w.version++
	}
	w.note("%s: accepted %v, away %v, dead %v", n.id, accepted, w.away, n.dead)
	if n.dead {
		return
	}
	if w.away || w.dice.Upto(4) == 0 {
		w.note("%s: reply lost", n.id)
		n.holder.Lost()
		return
	}
	n.holder.Wrote(accepted)
}

// eject removes a server, where the holder allows it. This is the promise: what
// is left of the whole service, as it truly stands, is not below the floor.
func (w *world) eject(n *actor) {
	if n.dead {
		return
	}
	id, found := pick(w.dice, n.alive, func(id ident.Backend) bool { return !n.removed[id] })
	if !found || !n.holder.Spend(w.now, id, w.view(n)) {
		return
	}
	n.removed[id] = true
	w.ejections++
	w.note("%s ejects %s with view %+v, tokens %d", n.id, id, w.view(n), n.holder.Tokens(w.now))
	left, unheard := 0, 0
	for i, other := range w.nodes {
		unheard += w.unheard(n, i, other)
		_, inService := other.counts()
		if !other.dead {
			left += inService
		}
	}
	if left+unheard < w.floor {
		w.t.Fatalf("%d in service, floor %d, %d losses were news\n%s",
			left, w.floor, unheard, strings.Join(w.trace, "\n"))
	}
}

// unheard is how many of another node's servers have died, or moved away, since
// the word that the ejecting node had of it: nobody can answer for those.
func (w *world) unheard(n *actor, i int, other *actor) int {
	heard, known := n.heard[i]
	if other == n || !known || w.now.Sub(heard.at) >= fresh {
		return 0
	}
	alive, _ := other.counts()
	return max(0, heard.alive-alive)
}

func (w *world) restore(n *actor) {
	id, found := pick(w.dice, n.alive, func(id ident.Backend) bool { return n.removed[id] })
	if !found || n.dead {
		return
	}
	w.note("%s returns %s", n.id, id)
	delete(n.removed, id)
	n.holder.Refund(id)
}

// hear lets a node hear how another stands now, unless it is dead.
func (w *world) hear(n *actor, i int) {
	from := w.nodes[i]
	if from == n || from.dead || n.dead {
		return
	}
	alive, inService := from.counts()
	w.note("%s hears %s: %d, %d", n.id, from.id, alive, inService)
	n.heard[i] = word{at: w.now, alive: alive, inService: inService}
}

// harm does what happens to nodes and servers.
func (w *world) harm(n *actor) {
	switch w.dice.Upto(5) {
	case 0:
		id, found := pick(w.dice, n.alive, func(ident.Backend) bool { return true })
		if !found || n.dead {
			return
		}
		w.note("%s dies", id)
		delete(n.alive, id)
		delete(n.removed, id)
		n.holder.Refund(id)
		n.tell()
	case 1:
		w.away = !w.away
	case 2:
		w.crash(n)
	case 3:
		w.now = w.now.Add(floor.Lease / 2)
	case 4:
		w.now = w.now.Add(floor.Lease + time.Minute)
	}
}

// crash ends a node; its servers come to another, in service again.
func (w *world) crash(n *actor) {
	to := w.any()
	if n.dead || to == n || to.dead {
		return
	}
	for id := range n.alive {
		to.alive[id] = true
	}
	to.tell()
	w.note("%s crashes, its servers go to %s", n.id, to.id)
	n.reset(2)
	n.dead = true
}

func (w *world) pass() {
	w.now = w.now.Add(time.Duration(w.dice.Between(1, 20)) * time.Second)
}

// enforce ends the ejections that are no longer covered, as a node does with
// every tick before it acts.
func (w *world) enforce() {
	for _, n := range w.nodes {
		for _, id := range n.holder.Void(w.now) {
			delete(n.removed, id)
		}
	}
}

func pick(d *check.Dice, ids map[ident.Backend]bool, suits func(ident.Backend) bool) (ident.Backend, bool) {
	var list []ident.Backend
	for id := range ids {
		if suits(id) {
			list = append(list, id)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	sortIDs(list)
	return list[d.Upto(len(list))], true
}

func sortIDs(list []ident.Backend) {
	for i := range list {
		for j := i; j > 0 && list[j] < list[j-1]; j-- {
			list[j], list[j-1] = list[j-1], list[j]
		}
	}
}

// TestFloorHolds lets an adversary order reads, writes, lost replies, outages,
// crashes, leaps of time and stale views of several nodes.
func TestFloorHolds(t *testing.T) {
	ejections := 0
	check.Run(t, func(t *rapid.T) {
		w := newWorld(t)
		for range w.dice.Between(50, 300) {
			w.step()
		}
		ejections += w.ejections
	})
	assert.Check(t, ejections > 100, "only %d ejections", ejections)
}

// TestTokensComeBack takes away the node that holds all tokens: another gets
// them once the dead node's entry has stood still for its lease.
func TestTokensComeBack(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var book floor.Book
	first := &floor.Holder{Node: "a", Instance: 1}
	first.Backends([]ident.Backend{"a1", "a2"})
	first.Write(now, 3, nil, &book)
	first.Wrote(true)
	second := &floor.Holder{Node: "b", Instance: 1}
	second.Backends([]ident.Backend{"b1", "b2"})
	second.Write(now, 3, nil, &book)
	second.Wrote(true)
	first.Write(now, 3, nil, &book)
	first.Wrote(true)
	assert.Equal(t, first.Tokens(now)+second.Tokens(now), 1)

	// The backend servers of a come to b; its token is locked until the lease
	// and the margin have passed.
	second.Backends([]ident.Backend{"a1", "a2", "b1", "b2"})
	second.Need(1)
	for range 200 {
		now = now.Add(5 * time.Minute)
		if !second.Wants(now) {
			continue
		}
		second.Write(now, 3, []ident.Node{"a"}, &book)
		second.Wrote(true)
		if second.Tokens(now) == 1 {
			assert.Equal(t, first.Tokens(now), 0, "the dead node's token ended before it was granted again")
			return
		}
	}
	t.Fatal("the token is lost for good")
}

// TestPausedHolderHasNothing lets a holder sleep past its lease.
func TestPausedHolderHasNothing(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var book floor.Book
	h := &floor.Holder{Node: "a", Instance: 1}
	h.Backends([]ident.Backend{"a1", "a2"})
	h.Write(now, 1, nil, &book)
	h.Wrote(true)
	view := floor.View{InService: 2, Floor: 1}
	assert.Check(t, h.Spend(now, "a1", view))
	now = now.Add(floor.Lease)
	assert.DeepEqual(t, h.Void(now), []ident.Backend{"a1"})
	assert.Check(t, !h.Spend(now, "a2", view))
}

// TestABookWithoutTokensIsAskedSeldom counts the store calls of a node that
// cannot have a token.
func TestABookWithoutTokensIsAskedSeldom(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var book floor.Book
	h := &floor.Holder{Node: "a", Instance: 1}
	h.Backends([]ident.Backend{"a1"})
	calls := 0
	for end := now.Add(24 * time.Hour); now.Before(end); now = now.Add(time.Second) {
		if h.Wants(now) {
			h.Write(now, 5, nil, &book)
			h.Wrote(true)
			calls++
		}
	}
	assert.Check(t, calls < 320, "%d writes in a day", calls)
}
