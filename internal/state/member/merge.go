package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
)

// merge applies a message's records and revision to the view.
func (g *Group) merge(now time.Time, m Message) {
	for i := range m.Records {
		g.mergeRecord(now, &m.Records[i], m.From)
	}
	g.NoteStoreEra(m.StoreEra)
	g.noteRevision(m)
}

// ForgetRevisionSource drops the node at an address as the source of the newest
// configuration, after a fetch from it failed. The next node that reports the
// revision becomes the source.
func (g *Group) ForgetRevisionSource(address string) {
	if g.newest.Address == address {
		g.newest.Address, g.newest.SameZone = "", false
	}
}

// noteRevision records the sender as the source of the newest configuration if it
// reports a higher revision, if there is no source yet, or if it is the first
// source in this node's availability zone.
func (g *Group) noteRevision(m Message) {
	source := RevisionSource{Revision: m.Revision, Node: m.From}
	if e, known := g.entries[m.From]; known {
		source.Address = e.Address
		source.SameZone = e.Zone == g.entries[g.self].Zone
	}
	newer := m.Revision > g.newest.Revision
	better := m.Revision == g.newest.Revision && (g.newest.Address == "" || source.SameZone && !g.newest.SameZone)
	if newer || better && source.Address != "" {
		g.newest = source
	}
}

// mergeRecord merges one record that a node sent; from is empty for records that
// don't come from a node. Accused and gone records of unknown nodes are ignored, so
// that gossip doesn't bring back a dead node that has been deleted here.
func (g *Group) mergeRecord(now time.Time, r *Record, from ident.Node) {
	if r.ID == g.self {
		g.learnDepartures(now, r.Departures)
		g.refute(now, r)
		return
	}
	e, known := g.entries[r.ID]
	switch {
	case !known:
		if r.Gone || len(r.Accusers) > 0 || g.superseded(r) {
			return
		}
		e = &entry{Record: *r, stateSince: now}
		g.addEntry(e)
		g.changes = append(g.changes, Change{Node: *r, State: Alive, Previous: Dead, New: true})
	case r.newer(&e.Record):
		if r.Incarnation > e.Incarnation {
			g.peer(r.ID).ackedSeq = 0
			g.live = nil
		}
		known := e.Departures
		e.Record = *r
		if e.addDepartures(known) {
			// The sender lacks some of them.
			from = ""
		}
	case r.sameVersion(&e.Record):
		if !e.mergeSameVersion(r) {
			return
		}
		if !slices.Equal(e.Departures, r.Departures) {
			from = ""
		}
	default:
		if !e.addDepartures(r.Departures) {
			return
		}
		from = ""
	}
	g.noteChange(now, e, from)
	if !e.Gone {
		g.supersede(now, e)
	}
}

// superseded reports whether a node with a higher incarnation has the record's
// address.
func (g *Group) superseded(r *Record) bool {
	for _, e := range g.entries {
		if e.ID != r.ID && e.Address == r.Address && e.Incarnation > r.Incarnation && !e.Gone {
			return true
		}
	}
	return false
}

// supersede marks the nodes with a lower incarnation at the address of a node as
// gone. The node answers exchanges there, so they would never fail.
func (g *Group) supersede(now time.Time, replacement *entry) {
	for _, e := range g.entries {
		if e.ID == replacement.ID || e.Address != replacement.Address || e.ID == g.self || e.Gone {
			continue
		}
		if e.Incarnation < replacement.Incarnation {
			e.Gone = true
			g.noteChange(now, e, "")
		}
	}
}

// refute handles a record of this node that another node sent. If the record is
// newer than its own, or accuses the current version or calls it gone, this node
// raises its heartbeat above it. If the record has a higher incarnation, such as
// after a restart with a clock that is behind, this node takes one above it.
func (g *Group) refute(now time.Time, r *Record) {
	own := g.entries[g.self]
	if r.Incarnation > own.Incarnation {
		own.Incarnation = r.Incarnation + 1
		g.noteChange(now, own, "")
		return
	}
	accused := r.sameVersion(&own.Record) && (len(r.Accusers) > 0 || r.Gone && !own.Gone)
	ahead := r.newer(&own.Record)
	g.contacts.noteAccused(now, len(r.Accusers))
	if !accused && !ahead {
		if len(r.Accusers) > 0 || r.Gone {
			// The sender does not have the refutation yet; send it again.
			g.noteChange(now, own, "")
		}
		return
	}
	own.Heartbeat = max(own.Heartbeat, r.Heartbeat) + 1
	own.Accusers = nil
	g.noteChange(now, own, "")
}

// addEntry adds an entry to the view.
func (g *Group) addEntry(e *entry) {
	g.entries[e.ID] = e
	g.updateDigest(e)
	g.sequence++
	e.changeSeq = g.sequence
	g.live = nil
}

// noteChange records that an entry has changed, and updates its state and the
// digest. The neighbour that sent the change is not sent the entry; from is empty for
// a local change.
func (g *Group) noteChange(now time.Time, e *entry, from ident.Node) {
	g.sequence++
	e.changeSeq = g.sequence
	e.learnedFrom = from
	g.updateState(now, e)
	g.updateDigest(e)
}

// updateDigest replaces an entry's share of the digest. Dead nodes are left out,
// because each node deletes them at a time of its own.
func (g *Group) updateDigest(e *entry) {
	g.digest ^= e.hash
	e.hash = 0
	if e.state != Dead {
		e.hash = e.digest()
	}
	g.digest ^= e.hash
}

// updateState recomputes the state of an entry and records a Change if it differs.
func (g *Group) updateState(now time.Time, e *entry) {
	previous := e.state
	e.state = g.stateOf(now, e)
	if e.state == previous {
		return
	}
	e.stateSince = now
	if (previous == Dead) != (e.state == Dead) {
		g.live = nil
	}
	if e.state == Dead {
		g.dropPeer(e.ID)
	}
	g.changes = append(g.changes, Change{Node: e.Record, State: e.state, Previous: previous})
}

// dropPeer deletes the state of the exchanges with a node.
func (g *Group) dropPeer(id ident.Node) {
	delete(g.peers, id)
}

// stateOf derives the state of an entry from its record. This node never sees itself
// as suspect or dead.
func (g *Group) stateOf(now time.Time, e *entry) State {
	switch {
	case e.ID == g.self:
		if e.Leaving {
			return Leaving
		}
		return Alive
	case e.Gone || g.confirmedDead(now, e):
		return Dead
	case len(e.Accusers) > 0:
		return Suspect
	case e.Leaving:
		return Leaving
	default:
		return Alive
	}
}

// confirmedDead reports whether enough nodes accuse a node: two nodes, or nodes of
// two availability zones if the other live nodes are of several. If only one other
// live node is left, its accusation counts after singleAccuserTimeout.
func (g *Group) confirmedDead(now time.Time, e *entry) bool {
	if len(e.Accusers) == 0 {
		return false
	}
	others := g.otherLive(e.ID)
	if len(others) <= 1 {
		return e.state == Dead || e.state == Suspect && now.Sub(e.stateSince) >= singleAccuserTimeout
	}
	zones := map[ident.Zone]bool{}
	for _, id := range e.Accusers {
		if accuser, known := g.entries[id]; known {
			zones[accuser.Zone] = true
		}
	}
	if g.countZones(others) > 1 {
		return len(zones) > 1
	}
	return len(e.Accusers) > 1
}

// otherLive returns the live nodes except one.
func (g *Group) otherLive(id ident.Node) []*entry {
	var others []*entry
	for _, e := range g.entries {
		if e.ID != id && e.state != Dead {
			others = append(others, e)
		}
	}
	return others
}

// countZones returns the number of availability zones of the entries.
func (g *Group) countZones(entries []*entry) int {
	zones := map[ident.Zone]bool{}
	for _, e := range entries {
		zones[e.Zone] = true
	}
	return len(zones)
}

// expire recomputes the state of suspect nodes, because the accusation of a single
// node may count after a time, and deletes nodes that have been dead for
// deadRetention.
func (g *Group) expire(now time.Time) {
	for id, e := range g.entries {
		switch e.state {
		case Suspect:
			g.updateState(now, e)
			g.updateDigest(e)
		case Dead:
			if now.Sub(e.stateSince) > deadRetention {
				delete(g.entries, id)
			}
		}
	}
}

// probeDead returns an exchange with a random dead node that is not marked as gone,
// so that the parts of a split fleet find each other. It also returns one with the
// next seed if no live node has that address, and then retries after ExchangeInterval
// instead of deadProbeInterval.
func (g *Group) probeDead(t eval.Context) []Exchange {
	if t.Now.Before(g.nextDeadProbe) {
		return nil
	}
	interval := deadProbeInterval
	defer func() { g.nextDeadProbe = t.Now.Add(interval) }()
	var exchanges []Exchange
	if len(g.seeds) > 0 {
		address := g.seeds[g.nextSeed%len(g.seeds)]
		g.nextSeed++
		if !g.hasLiveAddress(address) {
			m := g.message(&peer{}, "")
			m.RecipientUnknown = true
			exchanges = append(exchanges, Exchange{Address: address, Message: m})
			interval = ExchangeInterval
		}
	}
	dead := g.Dead()
	dead = slices.DeleteFunc(dead, func(id ident.Node) bool { return g.entries[id].Gone })
	if len(dead) > 0 {
		id := dead[t.Random.IntN(len(dead))]
		exchanges = append(exchanges, Exchange{Address: g.entries[id].Address, Message: g.message(&peer{}, "")})
	}
	return exchanges
}

// probeDeparted returns an exchange with one of the nodes that stopped or died within
// departedProbeWindow. A node that restarts while the store is unreachable has no
// other way to find the fleet.
func (g *Group) probeDeparted(t eval.Context) []Exchange {
	if t.Now.Before(g.nextDepartedProbe) {
		return nil
	}
	g.nextDepartedProbe = t.Now.Add(departedProbeInterval)
	var departed []*entry
	for _, e := range g.entries {
		if e.state == Dead && t.Now.Sub(e.stateSince) < departedProbeWindow && !g.hasLiveAddress(e.Address) {
			departed = append(departed, e)
		}
	}
	if len(departed) == 0 {
		return nil
	}
	slices.SortFunc(departed, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
	e := departed[t.Random.IntN(len(departed))]
	own := g.entries[g.self].Record
	return []Exchange{{Address: e.Address, Message: Message{
		From: g.self, Revision: g.appliedRevision, StoreEra: g.storeEra, Digest: g.digest, Records: []Record{own},
	}}}
}

// hasLiveAddress reports whether a live node has the address.
func (g *Group) hasLiveAddress(address string) bool {
	for _, e := range g.entries {
		if e.Address == address && e.state != Dead {
			return true
		}
	}
	return false
}

// refreshCaches recomputes live, ring and watchedIDs after live was reset to nil.
func (g *Group) refreshCaches() {
	if g.live != nil {
		return
	}
	for _, e := range g.entries {
		if e.state != Dead {
			g.live = append(g.live, e)
		}
	}
	slices.SortFunc(g.live, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
	g.ring = newRing(g.live)
	g.watchedIDs = g.watchedIDs[:0]
	for _, e := range g.live {
		if e.ID != g.self && slices.Contains(g.ring.watchersOf(e.ID, e.Zone), g.self) {
			g.watchedIDs = append(g.watchedIDs, e.ID)
		}
	}
}

// watched returns the nodes that this node watches, by id.
func (g *Group) watched() []ident.Node {
	g.refreshCaches()
	return slices.Clone(g.watchedIDs)
}
