package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/route"
	"github.com/figwick/figwick/internal/state/member"
	"github.com/figwick/figwick/internal/state/poll"
	"github.com/figwick/figwick/internal/state/store"
)

// exchangeTimeout is the timeout for one request to another node and its reply.
const exchangeTimeout = time.Second

// fleetChanges are the consequences of an event of a member.Group.
type fleetChanges struct {
	members []member.Change
	// learned are departures of backend servers that this node had acknowledged before its restart.
	learned []member.Departure
	// newer reports that another node has a newer configuration, restored that the store has
	// come back from an older copy.
	newer, restored bool
}

// fleet drives the node's member.Group: it performs the gossip exchanges that the
// group asks for, and reports membership changes to the log and the ingress.
type fleet struct {
	node  *Node
	mutex sync.Mutex
	group *member.Group
	// newerConfig receives a value when another node has a newer configuration
	// revision. It holds at most one.
	newerConfig chan struct{}
	// behindSince is when this node learned that another one has a newer configuration. It is
	// zero while none has.
	behindSince time.Time
	// publishedSequence is the group's sequence number at the last update of the ingress.
	publishedSequence uint64
	// lastContact is when the last message from another node arrived.
	lastContact time.Time
	// storeEra is the store's era at the last call of advanceStoreEra.
	storeEra store.Era
}

func newFleet(n *Node) *fleet {
	return &fleet{
		node:        n,
		newerConfig: make(chan struct{}, 1),
		group: member.New(member.Config{
			Self: member.Record{
				ID:          n.config.ID,
				Address:     n.config.Address,
				Zone:        n.config.Zone,
				Instance:    n.instance,
				Incarnation: ident.Incarnation(n.started.UnixMilli()),
			},
			Seeds: n.config.Join,
		}),
	}
}

// tick starts the gossip exchanges that are due.
func (f *fleet) tick(ctx context.Context) {
	f.startExchanges(ctx, func(t eval.Context) []member.Exchange { return f.group.Tick(t) })
}

// startExchanges applies an event to the group and starts the exchanges that it returns. It
// doesn't wait for them.
func (f *fleet) startExchanges(ctx context.Context, event func(t eval.Context) []member.Exchange) {
	f.mutex.Lock()
	exchanges := event(f.node.turn())
	changes := f.group.Changes()
	f.publishSidecars()
	f.mutex.Unlock()
	f.logChanges(changes)
	for _, e := range exchanges {
		go f.exchange(ctx, e)
	}
}

// publishSidecars passes the sidecars of all services to the ingress if the membership has
// changed. It does so only if Config.StoreDiscovery is set; otherwise the sidecars come
// from the directory. The mutex is held.
func (f *fleet) publishSidecars() {
	if !f.node.config.StoreDiscovery || f.group.Sequence() == f.publishedSequence {
		return
	}
	f.publishedSequence = f.group.Sequence()
	byService := map[ident.Service][]route.Sidecar{}
	for _, name := range f.node.front.KnownServices() {
		byService[name] = nil
	}
	for _, r := range f.group.Live() {
		if r.Service == "" || r.Slots == 0 {
			continue
		}
		byService[r.Service] = append(byService[r.Service], route.Sidecar{
			Address: r.Address, Node: r.ID, Zone: r.Zone, Slots: r.Slots, Leaving: r.Leaving,
		})
	}
	for name, sidecars := range byService {
		f.node.front.SetSidecars(name, sidecars)
	}
}

// setServing sets the service and the slots of the backend server beside this node. If
// they have changed, they are gossiped at once.
func (f *fleet) setServing(service ident.Service, slots int) {
	f.mutex.Lock()
	unchanged := !f.group.SetService(f.node.turn(), service, slots)
	f.mutex.Unlock()
	if !unchanged {
		f.startExchanges(context.Background(), f.group.ExchangeAll)
	}
}

// setStoreUnreachable sets whether the store is unreachable for this node. A change is
// gossiped at once.
func (f *fleet) setStoreUnreachable(unreachable bool) {
	f.mutex.Lock()
	changed := f.group.SetStoreUnreachable(f.node.turn(), unreachable)
	f.mutex.Unlock()
	if changed {
		f.startExchanges(context.Background(), f.group.ExchangeAll)
	}
}

// watchesStore reports whether this node is among those that watch the store for the
// fleet.
func (f *fleet) watchesStore() bool {
	return poll.IsPoller(f.node.config.ID, f.node.config.Zone, f.working())
}

// Find implements front.Finder. It returns nil, as publishSidecars already passes
// every sidecar to the ingress.
func (f *fleet) Find(context.Context, ident.Service) []route.Sidecar {
	return nil
}

// addRecords adds nodes whose records were read from the store.
func (f *fleet) addRecords(records []member.Record) {
	f.update(func() { f.group.MergeRecords(f.node.config.Clock.Now(), records) })
}

func (f *fleet) self() member.Record {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.group.Self()
}

// exchange sends a gossip message and passes the reply, or the failure, to the
// group. It reports whether there was a reply.
func (f *fleet) exchange(ctx context.Context, e member.Exchange) bool {
	ctx, done := context.WithTimeout(ctx, exchangeTimeout)
	defer done()
	reply, err := call[wire.Gossip](ctx, f.node, e.Address, wire.KindGossip, toGossip(e.Message), wire.KindGossip)
	f.update(func() {
		if err != nil {
			f.group.Failed(f.node.turn(), e.To)
			return
		}
		f.lastContact = f.node.config.Clock.Now()
		f.group.Reply(f.node.turn(), e.To, fromGossip(reply))
	})
	return err == nil
}

// receive handles another node's gossip message and returns the reply.
func (f *fleet) receive(m *wire.Gossip) *wire.Gossip {
	var reply member.Message
	f.update(func() {
		f.lastContact = f.node.config.Clock.Now()
		reply = f.group.Receive(f.node.turn(), fromGossip(m))
	})
	return toGossip(reply)
}

// sinceLastContact returns the time since the last message from another node.
func (f *fleet) sinceLastContact() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.node.config.Clock.Since(f.lastContact)
}

// update applies an event to the group. It updates the ingress, logs the membership changes and
// signals a newer configuration.
func (f *fleet) update(event func()) {
	c := f.apply(event)
	f.logChanges(c.members)
	if len(c.learned) > 0 {
		f.node.registration.learnDepartures(c.learned)
	}
	if c.newer {
		f.signalNewerConfig()
	}
	if c.restored {
		f.node.registration.recheckSoon()
		f.node.sourceFollower.rereadSoon()
		f.node.ledgers.noteRestore()
		f.node.keepClaims()
		f.startExchanges(context.Background(), f.group.SpreadRevision)
	}
}

// apply applies an event to the group under the mutex, which a panic of the event does not keep.
func (f *fleet) apply(event func()) fleetChanges {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	event()
	c := fleetChanges{members: f.group.Changes()}
	f.publishSidecars()
	c.restored = f.advanceStoreEra()
	c.newer = f.updateBehind()
	c.learned = f.group.LearnedDepartures()
	return c
}

// noteStoreEra records the store's era as this node has seen it.
func (f *fleet) noteStoreEra(era store.Era) {
	f.update(func() { f.group.NoteStoreEra(era) })
}

// advanceStoreEra reports whether the store has come back from an older copy since the last
// call, as this node or another has seen. The mutex is held.
func (f *fleet) advanceStoreEra() bool {
	previous := f.storeEra
	f.storeEra = f.group.StoreEra()
	return previous != 0 && f.storeEra != previous
}

// updateBehind updates behindSince and reports whether another node has a newer configuration.
// The mutex is held.
func (f *fleet) updateBehind() bool {
	newer := f.group.NewestRevision().Revision > f.group.AppliedRevision()
	switch {
	case !newer:
		f.behindSince = time.Time{}
	case f.behindSince.IsZero():
		f.behindSince = f.node.config.Clock.Now()
	}
	return newer
}

// behindFor returns for how long this node has known of a newer configuration, zero if it knows
// of none.
func (f *fleet) behindFor() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.behindSince.IsZero() {
		return 0
	}
	return f.node.config.Clock.Since(f.behindSince)
}

// signalNewerConfig signals newerConfig without blocking.
func (f *fleet) signalNewerConfig() {
	select {
	case f.newerConfig <- struct{}{}:
	default:
	}
}

// logChanges logs membership changes.
func (f *fleet) logChanges(changes []member.Change) {
	for _, c := range changes {
		fields := []any{"node", string(c.Node.ID), "address", c.Node.Address, "state", c.State.String()}
		switch {
		case c.New:
			events.Emit(f.node.log, events.NodeJoined, fields...)
		case c.State == member.Suspect:
			events.Emit(f.node.log, events.NodeSuspected, fields...)
		case c.State == member.Dead:
			events.Emit(f.node.log, events.NodeDead, fields...)
		case c.State == member.Alive:
			events.Emit(f.node.log, events.NodeBack, fields...)
		}
	}
}

// setRevision gossips the current configuration revision at once.
func (f *fleet) setRevision(r ident.Revision) {
	f.startExchanges(context.Background(), func(t eval.Context) []member.Exchange {
		f.group.SetAppliedRevision(r)
		f.updateBehind()
		return f.group.SpreadRevision(t)
	})
}

// leave gossips that the node is leaving, or that it is gone. It waits until every
// neighbour has answered or its exchange has failed, at most exchangeTimeout.
func (f *fleet) leave(ctx context.Context, gone bool) {
	f.mutex.Lock()
	f.group.Leave(f.node.turn(), gone)
	exchanges := f.group.ExchangeAll(f.node.turn())
	f.mutex.Unlock()
	var pending sync.WaitGroup
	for _, e := range exchanges {
		pending.Go(func() { f.exchange(ctx, e) })
	}
	// A write to a silent peer may block for longer than the exchange may take.
	waiting, done := context.WithTimeout(ctx, exchangeTimeout)
	go func() {
		pending.Wait()
		done()
	}()
	<-waiting.Done()
}

// newest returns the highest configuration revision known and a node that has it.
func (f *fleet) newest() member.RevisionSource {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.group.NewestRevision()
}

// forgetNewest forgets that the node at an address has the newest configuration,
// after a fetch from it has failed.
func (f *fleet) forgetNewest(address string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.group.ForgetRevisionSource(address)
}

// live returns the nodes that are not dead, this one included.
func (f *fleet) live() []member.Record {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.group.Live()
}

// working returns the nodes that are neither dead nor leaving, this one included.
func (f *fleet) working() []member.Record {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var records []member.Record
	for _, id := range f.group.Working() {
		r, _, _ := f.group.Find(id)
		records = append(records, r)
	}
	return records
}

// others returns the working nodes except this one.
func (f *fleet) others() []member.Record {
	return slices.DeleteFunc(f.working(), func(r member.Record) bool { return r.ID == f.node.config.ID })
}

// Relays returns the addresses of up to n working nodes, drawn at random, other
// than this node and the one at the given address.
func (f *fleet) Relays(around string, n int) []string {
	var relays []string
	for _, r := range f.others() {
		if r.Address != around {
			relays = append(relays, r.Address)
		}
	}
	random := f.node.config.Random
	for i := range min(n, len(relays)) {
		j := i + random.IntN(len(relays)-i)
		relays[i], relays[j] = relays[j], relays[i]
	}
	return relays[:min(n, len(relays))]
}

// dead returns the ids of the dead nodes that the group still remembers.
func (f *fleet) dead() []ident.Node {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.group.Dead()
}

// ownersOf returns the n working nodes with the highest rendezvous-hash score for a
// key. They include this node until it leaves.
func (f *fleet) ownersOf(key string, n int) []member.Record {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	ids := member.Rendezvous(key, f.group.Working(), n)
	records := make([]member.Record, len(ids))
	for i, id := range ids {
		records[i], _, _ = f.group.Find(id)
	}
	return records
}

// addressOf returns the address of a node, unless it is dead or not known.
func (f *fleet) addressOf(id ident.Node) (string, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r, state, found := f.group.Find(id)
	return r.Address, found && state != member.Dead
}

// workingInZone returns the working nodes in this node's availability zone.
func (f *fleet) workingInZone() []ident.Node {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var ids []ident.Node
	for _, id := range f.group.Working() {
		if r, _, _ := f.group.Find(id); r.Zone == f.node.config.Zone {
			ids = append(ids, id)
		}
	}
	return ids
}
