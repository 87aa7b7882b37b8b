package node

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/proxy/front"
	"github.com/figwick/figwick/internal/state/fresh"
	"github.com/figwick/figwick/internal/state/member"
	"github.com/figwick/figwick/internal/state/poll"
	"github.com/figwick/figwick/internal/state/store"
)

// maxAskers is the number of nodes of a zone up to which all of them ask the nodes that watch
// the store. In a larger zone some ask for the others, since one node can answer about 25
// questions a second with the bandwidth that it has for control.
const maxAskers = 16

// proofs keeps the proof that the active configuration is the newest. See package fresh. It
// implements front.Freshness.
type proofs struct {
	node   *Node
	config fresh.Config
	clock  eval.BootClock
	// mutex guards tracker and unproved.
	mutex   sync.Mutex
	tracker *fresh.Tracker
	// unproved is set while events.ConfigUnproved is the last event that was logged.
	unproved bool
	// asker and ahead are used by run only. ahead is set if the last reply named a revision that
	// was not active here.
	asker *fresh.Asker
	ahead bool
	// adopted receives a value after a configuration has become active. It holds at most one.
	adopted chan struct{}
	// reading is set while read reads the store.
	reading atomic.Bool
}

var _ front.Freshness = (*proofs)(nil)

func newProofs(n *Node) *proofs {
	c := fresh.Config{Bound: n.config.RevokeWithin, FirstStart: n.config.FirstStart}
	return &proofs{
		node: n, config: c, clock: n.config.BootClock, adopted: make(chan struct{}, 1),
		tracker: fresh.New(c), asker: fresh.NewAsker(c),
	}
}

// freshness returns what the ingress asks, or nil if there is no bound.
func (p *proofs) freshness() front.Freshness {
	if p.config.Bound == 0 {
		return nil
	}
	return p
}

// ProofAge implements front.Freshness.
func (p *proofs) ProofAge() (time.Duration, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.tracker.Age(p.clock.Now())
}

// MayUseKeys implements front.Freshness. It counts the requests for which it reports false.
func (p *proofs) MayUseKeys() bool {
	p.mutex.Lock()
	may := p.tracker.MayUseKeys(p.clock.Now())
	p.mutex.Unlock()
	if !may {
		p.node.meter.Unproved.Inc(1)
	}
	return may
}

// needed reports whether the node needs proofs: there is a bound, and the active configuration
// names organisations.
func (p *proofs) needed() bool {
	return p.config.Bound > 0 && p.node.front.Table().HasOrganisations()
}

// noteAdopted records the revision of a configuration that has become active.
func (p *proofs) noteAdopted(r ident.Revision) {
	p.mutex.Lock()
	p.tracker.Adopted(r)
	p.mutex.Unlock()
	select {
	case p.adopted <- struct{}{}:
	default:
	}
}

// noteEra records the store's era.
func (p *proofs) noteEra(era store.Era) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.tracker.NoteEra(p.clock.Now(), era)
}

// tick lets time pass for the tracker.
func (p *proofs) tick() {
	if p.config.Bound == 0 {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.tracker.Tick(p.clock.Now())
}

// storeReplied records a reply of the store to a read or watch of the configuration. The revision
// is described at fresh.StoreReply.
func (p *proofs) storeReplied(sent eval.BootTime, version store.Version, revision ident.Revision) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.tracker.StoreReplied(fresh.StoreReply{Sent: sent, Received: p.clock.Now(), Version: version, Revision: revision})
}

// storeUnchanged records a watch that ended without a later version. It reports false if the store
// has returned another version to another call meanwhile, so that the result proves nothing.
func (p *proofs) storeUnchanged(sent eval.BootTime, version store.Version) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	verdict := p.tracker.StoreReplied(fresh.StoreReply{Sent: sent, Received: p.clock.Now(), Version: version, Unchanged: true})
	return verdict != fresh.Outdated
}

// watchWait returns how long a watch of the store may wait, if the configuration is proved by it
// too. usual is the wait otherwise, sincePrevious the time since the previous call's reply.
func (p *proofs) watchWait(usual, sincePrevious time.Duration) time.Duration {
	if !p.needed() {
		return usual
	}
	period := p.config.Period()
	return min(usual, max(period-sincePrevious, period/4))
}

// retryDelay returns the wait after a failed call of the store. usual is the wait unless a proof is
// needed that no other node has either: requests with a key are to be served within a second of the
// store's return.
func (p *proofs) retryDelay(usual time.Duration) time.Duration {
	if age, known := p.ProofAge(); !p.needed() || known && !p.config.Late(age) {
		return usual
	}
	return min(usual, p.config.Period()/4)
}

// run gets proofs from other nodes while the node needs them and does not watch the store,
// until the context ends. It does nothing at all while the node needs none.
func (p *proofs) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !p.needed() {
			select {
			case <-p.adopted:
			case <-ctx.Done():
			}
			continue
		}
		age, known := p.ProofAge()
		late := !known || p.config.Late(age)
		if !late && p.node.watchesStore() {
			p.asker.Reset()
			p.pause(ctx, min(p.config.Period(), p.config.UntilLate(age)))
			continue
		}
		step := p.asker.Next(p.node.turn(), p.clock.Now(), late, p.sources)
		switch step.Kind {
		case fresh.Wait:
			p.pause(ctx, step.Wait)
		case fresh.Ask:
			p.ask(ctx, step.Node)
		case fresh.Read:
			p.startRead(ctx)
		}
	}
	return ctx.Err()
}

// pause waits, or returns early when a configuration has become active.
func (p *proofs) pause(ctx context.Context, wait time.Duration) {
	select {
	case <-p.node.config.Clock.After(wait):
	case <-p.adopted:
	case <-ctx.Done():
	}
}

// ask asks a node for its proof. If that node has a newer configuration, which this one has not got
// by gossip since the previous question, it is fetched.
func (p *proofs) ask(ctx context.Context, id ident.Node) {
	address, found := p.node.fleet.addressOf(id)
	if !found {
		return
	}
	asking, done := context.WithTimeout(ctx, p.config.ReplyTimeout())
	defer done()
	sent := p.clock.Now()
	reply, err := call[wire.ConfigProofReply](asking, p.node, address, wire.KindConfigProof, &wire.ConfigProof{}, wire.KindConfigProofReply)
	if err != nil {
		p.node.log.Debug("asking for a proof of the configuration failed", "peer", address, "error", err)
		return
	}
	verdict, age := p.peerReplied(sent, reply)
	p.asker.Replied(p.node.turn(), verdict, age)
	if verdict == fresh.Ahead && p.ahead {
		p.node.fetchConfig(ctx, address)
	}
	p.ahead = verdict == fresh.Ahead
}

// peerReplied passes a reply to the tracker. It returns the verdict and the age of the present proof.
func (p *proofs) peerReplied(sent eval.BootTime, reply *wire.ConfigProofReply) (fresh.Verdict, time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.clock.Now()
	verdict := p.tracker.PeerReplied(fresh.PeerReply{
		Sent: sent, Received: now, Revision: ident.Revision(reply.Revision),
		Age: fromMillis(reply.AgeMs), Known: reply.Known,
	})
	age, _ := p.tracker.Age(now)
	return verdict, age
}

// fromMillis converts a number of milliseconds that another node sent. One that does not fit is
// the longest duration.
func fromMillis(ms int64) time.Duration {
	if ms > math.MaxInt64/int64(time.Millisecond) {
		return math.MaxInt64
	}
	return time.Duration(ms) * time.Millisecond
}

// receive answers another node that asks for this node's proof.
func (p *proofs) receive() *wire.ConfigProofReply {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	answer := p.tracker.Answer(p.clock.Now())
	return &wire.ConfigProofReply{Revision: uint64(answer.Revision), AgeMs: answer.Age.Milliseconds(), Known: answer.Known}
}

// startRead reads the configuration from the store, without waiting for it: a silent store must not
// keep the node from asking others.
func (p *proofs) startRead(ctx context.Context) {
	if !p.reading.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer p.reading.Store(false)
		if p.node.config.Source != nil {
			p.node.sourceFollower.read(ctx)
			return
		}
		p.node.configs.read(ctx)
	}()
}

// sources returns the nodes that can be asked. Preferred are a node that watches the store in the
// own zone and one in each other zone. In a zone of more than maxAskers nodes, a few are chosen that
// ask the watching node; each other node asks one of these before.
func (p *proofs) sources() fresh.Sources {
	n := p.node
	nodes := n.fleet.working()
	self := n.config.ID
	var s fresh.Sources
	byZone := map[ident.Zone][]ident.Node{}
	var zones []ident.Zone
	for i := range nodes {
		r := &nodes[i]
		if byZone[r.Zone] == nil {
			zones = append(zones, r.Zone)
		}
		byZone[r.Zone] = append(byZone[r.Zone], r.ID)
		if r.ID != self {
			s.All = append(s.All, r.ID)
		}
	}
	prefer := func(candidates []ident.Node) {
		for _, id := range member.Rendezvous(string(self), candidates, 1) {
			if id != self {
				s.Preferred = append(s.Preferred, id)
			}
		}
	}
	if own := byZone[n.config.Zone]; len(own) > maxAskers {
		relays := member.Rendezvous("proof", own, int(math.Ceil(math.Sqrt(float64(len(own))))))
		if !slices.Contains(relays, self) {
			prefer(relays)
		}
	}
	prefer(n.storeWatchers(n.config.Zone, nodes))
	var others []ident.Node
	for _, zone := range zones {
		if zone != n.config.Zone {
			others = append(others, n.storeWatchers(zone, nodes)...)
		}
	}
	prefer(others)
	return s
}

// storeWatchers returns the nodes of a zone that watch the store, among the working nodes.
func (n *Node) storeWatchers(zone ident.Zone, nodes []member.Record) []ident.Node {
	if n.config.Source != nil {
		return poll.Pollers(zone, nodes)
	}
	var ids []ident.Node
	for i := range nodes {
		if nodes[i].Zone == zone {
			ids = append(ids, nodes[i].ID)
		}
	}
	return member.Rendezvous(watcherKey, ids, watchersPerZone)
}

// watchesStore reports whether this node watches the store now, and reaches it.
func (n *Node) watchesStore() bool {
	if n.configs.store.unreachable.Load() {
		return false
	}
	if n.config.Source != nil {
		return n.sourceFollower.watching.Load()
	}
	return n.configs.isWatcher()
}

// fetchConfig fetches the configuration of the node at an address.
func (n *Node) fetchConfig(ctx context.Context, address string) {
	if n.config.Source != nil {
		n.sourceFollower.fetchFrom(ctx, address)
		return
	}
	n.configs.fetchFrom(ctx, address)
}

// report updates the gauge of the proof's age, and logs when requests with a key begin or cease to be
// refused for want of a proof.
func (p *proofs) report() {
	needed := p.needed()
	p.mutex.Lock()
	now := p.clock.Now()
	age, known := p.tracker.Age(now)
	unproved := needed && !p.tracker.MayUseKeys(now)
	changed := unproved != p.unproved
	p.unproved = unproved
	p.mutex.Unlock()
	if needed && known {
		p.node.meter.ProofAge.Update(age.Seconds())
	}
	switch {
	case changed && unproved:
		events.Emit(p.node.log, events.ConfigUnproved, "revision", uint64(p.node.revision()), "known", known, "age", age.String())
	case changed:
		events.Emit(p.node.log, events.ConfigProved, "revision", uint64(p.node.revision()), "age", age.String())
	}
}

// dump returns the state for a Dump.
func (p *proofs) dump() fresh.Report {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.tracker.Dump(p.clock.Now())
}
