package accept_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/fake/check"
	"github.com/figwick/figwick/internal/fake/kvs"
	"github.com/figwick/figwick/internal/state/accept"
	"github.com/figwick/figwick/internal/state/config"
	"github.com/figwick/figwick/internal/state/store"
)

// fault is a store fault injected into one call.
type fault int

const (
	none fault = iota
	// refused calls fail without an effect.
	refused
	// lost calls take effect, but their replies are lost.
	lost
	// stale reads return an earlier version.
	stale
)

// scheduledStore is one operator's view of a shared store. A call blocks until the
// scheduler selects it, so that concurrent calls run one at a time, in the order
// and with the faults that the test draws.
type scheduledStore struct {
	*kvs.Store
	operator int
	arrived  chan call
}

// call is a pending store call of one operator.
type call struct {
	operator int
	// gate starts the call with a fault; the call sends the fault back when it
	// is done.
	gate chan fault
}

func (s *scheduledStore) intercept(effect func() error) error {
	gate := make(chan fault)
	s.arrived <- call{s.operator, gate}
	f := <-gate
	switch f {
	case refused:
		s.Inject(kvs.Faults{Down: true})
	case lost:
		s.Inject(kvs.Faults{LoseReplies: 1})
	case stale:
		s.Inject(kvs.Faults{Stale: 1})
	}
	err := effect()
	s.Inject(kvs.Faults{})
	gate <- f
	return err
}

func (s *scheduledStore) Get(ctx context.Context, key string) (item store.Item, err error) {
	err = s.intercept(func() error {
		item, err = s.Store.Get(ctx, key)
		return err
	})
	return item, err
}

func (s *scheduledStore) CAS(ctx context.Context, key string, value []byte, version store.Version, lease store.Lease) (item store.Item, err error) {
	err = s.intercept(func() error {
		item, err = s.Store.CAS(ctx, key, value, version, lease)
		return err
	})
	return item, err
}

func (s *scheduledStore) Delete(ctx context.Context, key string, version store.Version) error {
	return s.intercept(func() error { return s.Store.Delete(ctx, key, version) })
}

func (s *scheduledStore) List(ctx context.Context, prefix string) (items []store.Item, err error) {
	err = s.intercept(func() error {
		items, err = s.Store.List(ctx, prefix)
		return err
	})
	return items, err
}

// noWait is a Sleeper whose timers have expired already.
type noWait struct{}

func (noWait) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	c <- time.Time{}
	return c
}

func newFile(services int, floor int) *config.File {
	f := &config.File{Version: 1}
	for i := range services {
		f.Services = append(f.Services, config.Service{
			Name: ident.Service(fmt.Sprintf("s%d", i)), Hosts: []string{fmt.Sprintf("s%d.test", i)}, Floor: floor,
		})
	}
	return f
}

type outcome struct {
	apply  ident.Apply
	result accept.Result
	err    error
	// restores is the number of restores before the apply began.
	restores int
}

// restorer lets a store come back from earlier copies of its data.
type restorer struct {
	store *kvs.Store
	// enabled allows restores.
	enabled bool
	saved   []kvs.Snapshot
	// count is the number of restores so far, at most maxRestores.
	count int
}

const maxRestores = 3

// step may save a copy or come back from one.
func (r *restorer) step(t *rapid.T) {
	if !r.enabled {
		return
	}
	switch rapid.IntRange(0, 9).Draw(t, "restore") {
	case 0:
		r.saved = append(r.saved, r.store.Snapshot())
	case 1:
		if len(r.saved) > 0 && r.count < maxRestores {
			i := rapid.IntRange(0, len(r.saved)-1).Draw(t, "copy")
			r.store.Restore(r.saved[i])
			r.saved = r.saved[:i+1] // later copies hold what is lost now
			r.count++
		}
	}
}

// heads is what the store's Heads have been so far.
type heads struct {
	history map[ident.Apply]ident.Revision
	highest ident.Revision
	last    accept.Head
	// restores is the number of restores at the last check.
	restores int
}

// check fails if the store's present Head may not follow the last one, or lacks a chunk. A
// Head that a node holds is never followed by another of the same revision.
func (h *heads) check(t *rapid.T, r *restorer, n *nodes) {
	head, found := headOf(t, r.store)
	if !found {
		return
	}
	if r.count == 0 && head.Revision != h.highest && head.Revision != h.highest+1 {
		t.Fatalf("revision went from %d to %d", h.highest, head.Revision)
	}
	if r.count == h.restores && (head.Revision < h.last.Revision || head.Revision == h.last.Revision && head.Apply != h.last.Apply) {
		t.Fatalf("revision %d followed %d without a restore", head.Revision, h.last.Revision)
	}
	if apply, held := n.held[head.Revision]; held && apply != head.Apply {
		t.Fatalf("revision %d is given to apply %s, but a node holds apply %s as this revision", head.Revision, head.Apply, apply)
	}
	h.highest = max(h.highest, head.Revision)
	h.last = head
	h.restores = r.count
	h.history[head.Apply] = head.Revision
	checkChunks(t, r.store, head)
}

// TestApplyTellsTheTruth runs concurrent applies against a store that refuses
// calls, loses replies and returns stale reads. Each Result must agree with the
// sequence of Heads in the store, and no Head may lack a chunk. Between the
// applies, nodes load Heads from the store and from each other.
func TestApplyTellsTheTruth(t *testing.T) {
	check.Run(t, func(t *rapid.T) { runApplies(t, false) })
}

// TestAcceptedSurvivesRestore guards against accepted configurations that are lost when the
// store comes back from an older copy, whose revision is given to another configuration
// then, or whose apply gets a wrong Result. Beyond what TestApplyTellsTheTruth does, the
// store is restored between any two calls, and nodes write back what they hold, some late.
func TestAcceptedSurvivesRestore(t *testing.T) {
	check.Run(t, func(t *rapid.T) { runApplies(t, true) })
}

func runApplies(t *rapid.T, restores bool) {
	s := &scheduledStore{Store: kvs.New(clockwork.NewFakeClock()), arrived: make(chan call)}
	r := &restorer{store: s.Store, enabled: restores}
	seen := &heads{history: map[ident.Apply]ident.Revision{}}
	replicas := &nodes{
		store: s.Store, random: check.NewUniformRand(t), adopters: make([]*accept.Replica, 4),
		restores: r, held: map[ident.Revision]ident.Apply{},
	}
	for i := range replicas.adopters {
		replicas.adopters[i] = &accept.Replica{}
	}
	for range rapid.IntRange(1, 4).Draw(t, "rounds") {
		operators := rapid.IntRange(1, 3).Draw(t, "operators")
		done := make(chan outcome, operators+1)
		restoresBefore := r.count
		for i := range operators {
			file := newFile(rapid.IntRange(1, 3).Draw(t, "services"), rapid.IntRange(1, 5).Draw(t, "floor"))
			go func() {
				own := &scheduledStore{Store: s.Store, operator: i, arrived: s.arrived}
				a := accept.Applier{Store: own, Clock: noWait{}, Fleet: &view{replicas, i}}
				apply := ident.NewApply()
				result, err := a.Apply(context.Background(), accept.Request{File: file, Apply: apply, By: fmt.Sprint(i)})
				done <- outcome{apply, result, err, restoresBefore}
			}()
		}
		participants := operators
		if restores {
			participants++
			held := replicas.adopters[rapid.IntRange(0, len(replicas.adopters)-1).Draw(t, "writer")]
			go func() {
				own := &scheduledStore{Store: s.Store, operator: operators, arrived: s.arrived}
				a := accept.Applier{Store: own, Clock: noWait{}}
				done <- outcome{err: a.WriteBack(context.Background(), held)}
			}()
		}
		outcomes := schedule(t, s, participants, done, func() {
			seen.check(t, r, replicas)
			r.step(t)
			seen.check(t, r, replicas)
		})
		for _, o := range outcomes {
			if o.apply != "" {
				checkResult(t, o, seen.history, r.count)
			}
			if held := replicas.newest().Revision(); held < o.result.Revision {
				t.Fatalf("revision %d was acknowledged, but nodes hold revision %d only", o.result.Revision, held)
			}
		}
		replicas.runRandomSteps(t, seen.highest)
	}
	replicas.writeBack(t)
	replicas.converge(t)
}

// schedule waits until each operator has a pending call or is done, then runs one
// of the pending calls with a drawn fault. It repeats this until all operators are
// done. At most 12 calls get a fault, so that every apply can end. The function runs
// before each call and after the last, while no operator runs.
func schedule(t *rapid.T, s *scheduledStore, operators int, done chan outcome, between func()) []outcome {
	var outcomes []outcome
	var calls []call
	faults := 12
	for len(outcomes) < operators {
		for len(calls)+len(outcomes) < operators {
			select {
			case c := <-s.arrived:
				calls = append(calls, c)
			case o := <-done:
				outcomes = append(outcomes, o)
			}
		}
		between()
		if len(calls) == 0 {
			continue
		}
		slices.SortFunc(calls, func(a, b call) int { return a.operator - b.operator })
		next := rapid.IntRange(0, len(calls)-1).Draw(t, "next")
		injected := none
		if faults > 0 {
			injected = fault(rapid.IntRange(0, int(stale)).Draw(t, "fault"))
		}
		if injected != none {
			faults--
		}
		gate := calls[next].gate
		calls = append(calls[:next], calls[next+1:]...)
		gate <- injected
		<-gate
	}
	return outcomes
}

// nodes is a set of nodes that load configurations from the store, which may return
// stale reads, and from each other.
type nodes struct {
	store    *kvs.Store
	random   *check.UniformRand
	adopters []*accept.Replica
	restores *restorer
	// held are the applies of the revisions that a node has or had.
	held map[ident.Revision]ident.Apply
}

// view is the accept.Fleet of one node. It knows at once what other nodes hold.
type view struct {
	nodes *nodes
	node  int
}

func (v *view) Known(context.Context) (accept.Known, error) {
	newest := v.nodes.newest()
	return accept.Known{Replica: newest, Revision: newest.Revision(), Restored: v.nodes.restores.count > 0}, nil
}

func (v *view) Accepted(_ context.Context, head []byte, fetch accept.Fetch) {
	v.nodes.offer(v.node, head, fetch)
}

// newest returns the highest revision that a node holds.
func (n *nodes) newest() *accept.Replica {
	return slices.MaxFunc(n.adopters, func(a, b *accept.Replica) int { return cmp.Compare(a.Revision(), b.Revision()) })
}

// writeBack lets the node with the highest revision write it back.
func (n *nodes) writeBack(t *rapid.T) {
	a := accept.Applier{Store: n.store, Clock: noWait{}}
	if err := a.WriteBack(context.Background(), n.newest()); err != nil {
		t.Fatal(err)
	}
	head, found := headOf(t, n.store)
	if highest := n.newest().Revision(); highest > 0 && (!found || head.Revision < highest) {
		t.Fatalf("the store has revision %d after revision %d was written back", head.Revision, highest)
	}
	if found {
		checkChunks(t, n.store, head)
	}
}

// runRandomSteps lets random nodes load a configuration. A node's revision must not
// decrease and must not exceed the accepted one.
func (n *nodes) runRandomSteps(t *rapid.T, highest ident.Revision) {
	for range n.random.IntN(12) {
		i := n.random.IntN(len(n.adopters))
		if n.random.Chance(5) {
			// The node is replaced by one without a configuration. With restores, one other
			// node at least has the newest.
			replaced := n.adopters[i]
			n.adopters[i] = &accept.Replica{}
			if n.restores.enabled && n.newest().Revision() < replaced.Revision() {
				n.adopters[i] = replaced
			}
		}
		previous := n.adopters[i].Revision()
		if n.random.Chance(40) {
			n.store.Inject(kvs.Faults{Stale: n.random.IntN(3)})
			n.fromStore(i)
			n.store.Inject(kvs.Faults{})
		} else {
			n.fromPeer(i, n.random.IntN(len(n.adopters)))
		}
		if current := n.adopters[i].Revision(); current < previous || current > highest {
			t.Fatalf("a node went from revision %d to %d, accepted revision is %d", previous, current, highest)
		}
	}
}

func (n *nodes) fromStore(i int) {
	item, err := n.store.Get(context.Background(), accept.HeadKey)
	if err != nil {
		return
	}
	n.offer(i, item.Value, func(ctx context.Context, names []string) (map[string][]byte, error) {
		found := map[string][]byte{}
		for _, name := range names {
			chunk, err := n.store.Get(ctx, accept.ChunkKey(name))
			if err == nil {
				found[name] = chunk.Value
			}
		}
		return found, nil
	})
}

func (n *nodes) fromPeer(i, from int) {
	peer := n.adopters[from]
	if peer.Revision() == 0 {
		return
	}
	_, text := peer.Head()
	n.offer(i, text, func(_ context.Context, names []string) (map[string][]byte, error) {
		return peer.Chunks(names), nil
	})
}

func (n *nodes) offer(i int, head []byte, fetch accept.Fetch) {
	if next, _, err := n.adopters[i].Advance(context.Background(), head, fetch); err == nil {
		n.adopters[i] = next
		head, _ := next.Head()
		n.held[head.Revision] = head.Apply
	}
}

// converge lets node 0 load the Head from the store and the others load it from
// node 0. All must then have the accepted revision.
func (n *nodes) converge(t *rapid.T) {
	n.fromStore(0)
	for i := range n.adopters {
		n.fromPeer(i, 0)
		if n.adopters[i].Revision() != n.adopters[0].Revision() {
			t.Fatalf("node %d is still at revision %d", i, n.adopters[i].Revision())
		}
	}
	head, found := headOf(t, n.store)
	if found && n.adopters[0].Revision() != head.Revision {
		t.Fatalf("node 0 has revision %d, accepted revision is %d", n.adopters[0].Revision(), head.Revision)
	}
}

// checkResult compares an apply's Result with the Heads that the store held.
// Unresolved is correct only if the store was restored meanwhile.
func checkResult(t *rapid.T, o outcome, history map[ident.Apply]ident.Revision, restores int) {
	revision, accepted := history[o.apply]
	switch o.result.State {
	case accept.Accepted, accept.Superseded:
		if !accepted || revision != o.result.Revision {
			t.Fatalf("result %s as revision %d, but the store had revision %d for it (accepted: %v)", o.result.State, o.result.Revision, revision, accepted)
		}
	case accept.Conflicting:
		if accepted {
			t.Fatalf("result conflict, but the store had it as revision %d", revision)
		}
	case accept.Unresolved:
		if restores == o.restores {
			t.Fatalf("unresolved without a restore: %v", o.err)
		}
	default:
		t.Fatalf("%s: %v", o.result.State, o.err)
	}
}

func headOf(t *rapid.T, s *kvs.Store) (accept.Head, bool) {
	item, err := s.Get(context.Background(), accept.HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return accept.Head{}, false
	}
	if err != nil {
		t.Fatal(err)
	}
	head, err := accept.ParseHead(item.Value)
	if err != nil {
		t.Fatal(err)
	}
	return head, true
}

// checkChunks fails if the store lacks a group or chunk that the Head needs. It
// guards against the deletion of a chunk that is still in use.
func checkChunks(t *rapid.T, s *kvs.Store, head accept.Head) {
	readVerified := func(name string) []byte {
		item, err := s.Get(context.Background(), accept.ChunkKey(name))
		if err != nil || !accept.Verify(name, item.Value) {
			t.Fatalf("revision %d lacks chunk %s: %v", head.Revision, name, err)
		}
		return item.Value
	}
	for _, group := range head.Groups {
		names, err := accept.ParseGroup(readVerified(group))
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names {
			readVerified(name)
		}
	}
}

// TestRevisionNeverDecreases gives a node Heads in random order, some with corrupt
// chunks. The node must only advance to higher revisions and never take the
// content of another revision.
func TestRevisionNeverDecreases(t *testing.T) {
	s := kvs.New(clockwork.NewFakeClock())
	a := accept.Applier{Store: s, Clock: noWait{}}
	var heads [][]byte
	chunks := map[string][]byte{}
	for i := range 6 {
		_, err := a.Apply(t.Context(), accept.Request{File: newFile(3, i+1), Apply: ident.NewApply()})
		assert.NilError(t, err)
		item, err := s.Get(t.Context(), accept.HeadKey)
		assert.NilError(t, err)
		heads = append(heads, item.Value)
		keys, err := s.List(t.Context(), accept.ChunkKey(""))
		assert.NilError(t, err)
		for _, key := range keys {
			chunk, err := s.Get(t.Context(), key.Key)
			assert.NilError(t, err)
			chunks[strings.TrimPrefix(key.Key, accept.ChunkKey(""))] = chunk.Value
		}
	}
	check.Run(t, func(t *rapid.T) {
		node := &accept.Replica{}
		for range 12 {
			chosen := rapid.IntRange(0, len(heads)-1).Draw(t, "head")
			broken := rapid.Bool().Draw(t, "broken")
			before := node.Revision()
			next, table, err := node.Advance(context.Background(), heads[chosen], func(_ context.Context, names []string) (map[string][]byte, error) {
				found := map[string][]byte{}
				for _, name := range names {
					found[name] = chunks[name]
					if broken {
						found[name] = []byte("[]")
					}
				}
				return found, nil
			})
			if err != nil {
				continue
			}
			node = next
			if node.Revision() <= before || table.Revision != node.Revision() {
				t.Fatalf("went from %d to %d", before, node.Revision())
			}
			if table.Services()[0].Floor != int(table.Revision) {
				t.Fatalf("revision %d has the content of another", table.Revision)
			}
		}
	})
}

// TestChunksOfLargeFile checks that a large configuration fits into the store and
// is read back complete, and that a change of one service causes five writes.
func TestChunksOfLargeFile(t *testing.T) {
	if testing.Short() {
		t.Skip("large")
	}
	file := largeFile(790, 27, 53_000)
	s := kvs.New(clockwork.NewFakeClock())
	a := accept.Applier{Store: s, Clock: noWait{}}
	_, err := a.Apply(t.Context(), accept.Request{File: file, Apply: ident.NewApply()})
	assert.NilError(t, err)
	before := s.Counts().Writes
	file.Services[5].Floor++
	result, err := a.Apply(t.Context(), accept.Request{File: file, Apply: ident.NewApply()})
	assert.NilError(t, err)
	assert.Equal(t, result.State, accept.Accepted)
	assert.Equal(t, s.Counts().Writes-before, 5, "one chunk, its group, the head; an old chunk and group deleted")
	assert.NilError(t, roundTrip(t, s, file))
}

// largeFile returns a configuration of that many services, with so many routes in
// each, and with caller limits for that many organisations, spread over the
// services.
func largeFile(services, routes, organisations int) *config.File {
	f := newFile(services, 3)
	for i := range f.Services {
		for j := range routes {
			f.Services[i].Routes = append(f.Services[i].Routes, config.Route{Path: fmt.Sprintf("/route-%d", j)})
		}
	}
	for i := range organisations {
		l := &f.Services[i%services].Limits
		l.Callers = append(l.Callers, config.CallerLimit{ID: ident.Caller(fmt.Sprintf("organisation-%06d", i)), Rate: 10, Burst: 20})
	}
	return f
}

// roundTrip loads the accepted configuration from the store as a new node does and
// compares it with the file.
func roundTrip(t *testing.T, s *kvs.Store, file *config.File) error {
	item, err := s.Get(t.Context(), accept.HeadKey)
	if err != nil {
		return err
	}
	node, table, err := (&accept.Replica{}).Advance(t.Context(), item.Value, func(ctx context.Context, names []string) (map[string][]byte, error) {
		found := map[string][]byte{}
		for _, name := range names {
			chunk, err := s.Get(ctx, accept.ChunkKey(name))
			if err != nil {
				return nil, err
			}
			found[name] = chunk.Value
		}
		return found, nil
	})
	if err != nil {
		return err
	}
	read, err := node.File()
	if err != nil {
		return err
	}
	want, got := 0, 0
	for i := range file.Services {
		s := &file.Services[i]
		want += len(s.Limits.Callers) + len(s.Routes)
		got += len(read.Services[i].Limits.Callers) + len(read.Services[i].Routes)
		for _, c := range s.Limits.Callers {
			if limit, found := table.Limit(table.Service(s.Name), c.ID); !found || limit.Rate != c.Rate {
				return errors.Newf("caller %s has limit %v", c.ID, limit)
			}
		}
	}
	if want != got || len(file.Services) != len(read.Services) {
		return errors.Newf("%d routes and caller limits were written, %d were read back", want, got)
	}
	return nil
}
