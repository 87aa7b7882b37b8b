package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/state/store"
)

const (
	// ExchangeInterval is the time between two exchanges with one neighbour.
	ExchangeInterval = time.Second
	// accuseAfter is the number of consecutive failed exchanges with a node
	// after which it is accused.
	accuseAfter = 3
	// reaccuseAfter is the number of further consecutive failures after which a
	// refuted accusation is made again. It is high because a path that loses
	// messages in one direction would otherwise cause a stream of accusations
	// and refutations.
	reaccuseAfter = 30
	// singleAccuserTimeout is how long a node is suspect before the accusation
	// of a single node makes it dead, in a fleet that has no other live node.
	singleAccuserTimeout = 15 * time.Second
	// deadProbeInterval is the time between exchanges with dead nodes, one node
	// at a time. They let the parts of a split fleet find each other.
	deadProbeInterval = 5 * time.Second
	// departedProbeInterval is the time between exchanges with nodes that have
	// just stopped or died, one node at a time. Such a node may have restarted
	// without knowing any other.
	departedProbeInterval = 500 * time.Millisecond
	// departedProbeWindow is how long a node is probed at that interval after it
	// has stopped or died.
	departedProbeWindow = 20 * time.Second
	// deadRetention is how long the record of a dead node is kept.
	deadRetention = 2 * time.Hour
	// maxDigestMismatches is the number of exchanges with nothing to send but
	// different digests after which all records are sent again. Equal digests
	// reset the count.
	maxDigestMismatches = 4

	// spreadFanout is the number of nodes drawn at random that a node tells of a
	// revision it has just applied.
	spreadFanout = 4

	// BudgetBytesPerSecond is the average rate of records that a node sends.
	BudgetBytesPerSecond = 1000
	// maxBudgetBytes is the most unused budget that accumulates. It is enough to
	// send a joining node all records of a large fleet.
	maxBudgetBytes = 512 << 10
	// recordBytes is the approximate size of a record on the wire.
	recordBytes = 90
	// departureBytes is the approximate size of a departure on the wire without the
	// id of its backend server.
	departureBytes = 20
	// maxSampleRecords limits the random sample of live nodes in the answer to a
	// node that was unknown or dead.
	maxSampleRecords = 48
	// maxMessageRecords limits the records of any other message.
	maxMessageRecords = 500
)

type (
	// Message is the request or the answer of an exchange.
	Message struct {
		From ident.Node
		// Revision is the configuration revision that the sender has applied.
		Revision ident.Revision
		// StoreEra is the latest era of the store that the sender knows of.
		StoreEra store.Era
		// Digest is the exclusive or of the hashes of all records in the
		// sender's view, except those of dead nodes.
		Digest uint64
		// RevisionOnly messages carry nothing but the revision and the era.
		RevisionOnly bool
		// Records are the records that the receiver doesn't have yet, as far as
		// the sender knows.
		Records []Record
		// RecipientUnknown is set in an answer to a node that the sender did not
		// know or took for dead, and in a message to a seed that it does not know.
		// That node then sends its own record again.
		RecipientUnknown bool
	}

	// Exchange is a message for the caller to send. The caller passes the answer
	// to Reply, or calls Failed. To is empty if the node is addressed by its
	// address only: a seed, or a node that was dead.
	Exchange struct {
		To      ident.Node
		Address string
		Message Message
	}

	// Change describes a node whose state changed in this view. New is set when
	// the node was unknown before.
	Change struct {
		Node     Record
		State    State
		Previous State
		New      bool
	}

	// Config configures a Group.
	Config struct {
		// Self is this node's own record.
		Self Record
		// Seeds are the addresses of nodes through which this one joins the
		// fleet.
		Seeds []string
	}

	// Group is one node's view of the fleet, with the state of its exchanges. It
	// is not safe for concurrent use.
	Group struct {
		self              ident.Node
		seeds             []string
		entries           map[ident.Node]*entry
		digest            uint64
		sequence          uint64
		peers             map[ident.Node]*peer
		appliedRevision   ident.Revision
		storeEra          store.Era
		newest            RevisionSource
		changes           []Change
		learnedDepartures []Departure
		budgetBytes       float64
		budgetRefilledAt  time.Time
		nextDeadProbe     time.Time
		nextDepartedProbe time.Time
		nextSeed          int
		// nextComparison is when the revision is next compared with that of a node
		// drawn at random.
		nextComparison time.Time
		contacts       contacts

		// live, ring and watchedIDs are caches that depend on the set of live
		// nodes. A nil live marks them as outdated.
		live       []*entry
		ring       *ring
		watchedIDs []ident.Node
	}

	// RevisionSource is the highest configuration revision that another node has
	// reported, and the node to fetch it from. Address is empty if no source is
	// known.
	RevisionSource struct {
		Revision ident.Revision
		Node     ident.Node
		Address  string
		// SameZone reports that the node is in this node's availability zone.
		SameZone bool
	}

	// peer is the state of the exchanges with one neighbour.
	peer struct {
		// ackedSeq is the sequence number up to which the neighbour has
		// received the changes of this view.
		ackedSeq uint64
		// sentSeq is the sequence number up to which the last message sent them.
		sentSeq uint64
		// nothingToSend reports that no change was left to send when the last
		// message was made.
		nothingToSend bool
		// includeSelf adds this node's own record to the next message, because
		// the neighbour did not know this node.
		includeSelf  bool
		nextExchange time.Time
		inFlight     bool
		// failures counts the consecutive failed exchanges.
		failures int
		// digestMismatches counts towards maxDigestMismatches.
		digestMismatches int
	}
)

// New returns a Group that knows only its own node.
func New(config Config) *Group {
	g := &Group{
		self:        config.Self.ID,
		seeds:       config.Seeds,
		entries:     map[ident.Node]*entry{},
		peers:       map[ident.Node]*peer{},
		budgetBytes: maxBudgetBytes,
	}
	g.addEntry(&entry{Record: config.Self})
	return g
}

// AddSeeds adds addresses of nodes through which this one may join the fleet.
func (g *Group) AddSeeds(seeds []string) {
	for _, address := range seeds {
		if address != g.entries[g.self].Address && !slices.Contains(g.seeds, address) {
			g.seeds = append(g.seeds, address)
		}
	}
}

// Tick returns the exchanges that are due: with watched nodes, with seeds, with dead
// nodes, and with a node drawn at random for its revision. Callers call it several times in an
// ExchangeInterval.
func (g *Group) Tick(t eval.Context) []Exchange {
	g.refillBudget(t.Now)
	g.expire(t.Now)
	var exchanges []Exchange
	for _, id := range g.watched() {
		p := g.peer(id)
		if p.inFlight || t.Now.Before(p.nextExchange) {
			continue
		}
		p.inFlight = true
		p.nextExchange = t.Now.Add(ExchangeInterval)
		exchanges = append(exchanges, g.exchange(id, g.entries[id].Address))
	}
	if !t.Now.Before(g.nextComparison) {
		g.nextComparison = t.Now.Add(ExchangeInterval)
		exchanges = append(exchanges, g.compareRevision(t)...)
	}
	exchanges = append(exchanges, g.probeDead(t)...)
	return append(exchanges, g.probeDeparted(t)...)
}

// ExchangeAll returns exchanges with all neighbours, for a change that should not
// wait for Tick. A neighbour with an exchange in flight gets another at the next
// Tick if this node watches it.
func (g *Group) ExchangeAll(t eval.Context) []Exchange {
	var exchanges []Exchange
	for _, id := range g.Neighbours() {
		p := g.peer(id)
		if p.inFlight {
			p.nextExchange = t.Now
			continue
		}
		p.inFlight = true
		exchanges = append(exchanges, g.exchange(id, g.entries[id].Address))
	}
	return exchanges
}

// SpreadRevision returns the exchanges that pass on a revision which this node has just
// applied, or an era of the store of which it has just learned: with all neighbours, and with some nodes drawn at random.
func (g *Group) SpreadRevision(t eval.Context) []Exchange {
	exchanges := g.ExchangeAll(t)
	for range spreadFanout {
		exchanges = append(exchanges, g.compareRevision(t)...)
	}
	return exchanges
}

// Receive applies a message from another node and returns the answer. A node that
// was unknown or dead gets a sample of the live nodes.
func (g *Group) Receive(t eval.Context, m Message) Message {
	if m.RevisionOnly {
		g.NoteStoreEra(m.StoreEra)
		g.noteRevision(m)
		return g.revisionMessage()
	}
	g.refillBudget(t.Now)
	g.contacts.note(t.Now, m.From)
	e, known := g.entries[m.From]
	unknownOrDead := !known || e.state == Dead
	g.merge(t.Now, m)
	if unknownOrDead {
		answer := g.sampleMessage(t, m.From)
		g.returnDepartures(m, &answer)
		return answer
	}
	p := g.peer(m.From)
	p.failures = 0
	p.includeSelf = m.RecipientUnknown
	answer := g.message(p, m.From)
	g.returnDepartures(m, &answer)
	p.ackedSeq = p.sentSeq
	g.compareDigests(p, m)
	return answer
}

// Reply applies the answer to an Exchange. to is Exchange.To; another node may
// have answered at its address.
func (g *Group) Reply(t eval.Context, to ident.Node, m Message) {
	if m.RevisionOnly {
		g.NoteStoreEra(m.StoreEra)
		g.noteRevision(m)
		return
	}
	g.merge(t.Now, m)
	p := g.peer(m.From)
	if to != "" && to != m.From {
		g.peer(to).inFlight = false
	}
	p.inFlight = false
	p.failures = 0
	p.ackedSeq = max(p.ackedSeq, p.sentSeq)
	p.includeSelf = m.RecipientUnknown
	g.compareDigests(p, m)
}

// Failed records that an Exchange got no answer. After several consecutive failures
// this node accuses a node that it watches, at once if others accuse it already.
func (g *Group) Failed(t eval.Context, to ident.Node) {
	if to == "" {
		return
	}
	p := g.peer(to)
	p.inFlight = false
	p.failures++
	e, known := g.entries[to]
	if !known || p.failures < accuseAfter || !slices.Contains(g.watched(), to) {
		return
	}
	accusationDue := (p.failures-accuseAfter)%reaccuseAfter == 0
	if (accusationDue || len(e.Accusers) > 0) && e.accuse(g.self) {
		g.noteChange(t.Now, e, "")
	}
}

// Leave marks this node as leaving, and also as gone when it is about to stop.
func (g *Group) Leave(t eval.Context, gone bool) {
	e := g.entries[g.self]
	e.Leaving = true
	e.Gone = gone
	g.noteChange(t.Now, e, "")
}

// SetService sets the service of this node's local backend server and how many
// requests it processes at once, and reports whether either changed.
func (g *Group) SetService(t eval.Context, service ident.Service, slots int) bool {
	e := g.entries[g.self]
	if e.Service == service && e.Slots == slots {
		return false
	}
	e.Service, e.Slots = service, slots
	g.bumpHeartbeat(t, e)
	return true
}

// SetStoreUnreachable sets whether this node fails to reach the store, and reports
// whether that changed.
func (g *Group) SetStoreUnreachable(t eval.Context, unreachable bool) bool {
	e := g.entries[g.self]
	if e.StoreUnreachable == unreachable {
		return false
	}
	e.StoreUnreachable = unreachable
	g.bumpHeartbeat(t, e)
	return true
}

// bumpHeartbeat raises the version of this node's own record after a change.
func (g *Group) bumpHeartbeat(t eval.Context, own *entry) {
	own.Heartbeat++
	own.Accusers = nil
	g.noteChange(t.Now, own, "")
}

// MergeRecords merges records that come from another source than an exchange, such
// as the store.
func (g *Group) MergeRecords(now time.Time, records []Record) {
	g.merge(now, Message{Records: records})
}

// Sequence returns a number that grows with every change of the view.
func (g *Group) Sequence() uint64 {
	return g.sequence
}

// Self returns this node's own record.
func (g *Group) Self() Record {
	return g.entries[g.self].Record
}

// SetAppliedRevision sets the revision of the configuration that this node has
// applied. A lower one is ignored.
func (g *Group) SetAppliedRevision(r ident.Revision) {
	g.appliedRevision = max(g.appliedRevision, r)
}

// AppliedRevision returns the revision of the configuration that this node has
// applied.
func (g *Group) AppliedRevision() ident.Revision {
	return g.appliedRevision
}

// NewestRevision returns the highest configuration revision that another node has
// reported, and its source.
func (g *Group) NewestRevision() RevisionSource {
	return g.newest
}

// NoteStoreEra records an era of the store that this node has seen. An earlier one is
// ignored.
func (g *Group) NoteStoreEra(era store.Era) {
	g.storeEra = max(g.storeEra, era)
}

// StoreEra returns the latest era of the store that this node or another has seen.
func (g *Group) StoreEra() store.Era {
	return g.storeEra
}

// Changes returns the state changes of nodes since the last call.
func (g *Group) Changes() []Change {
	changes := g.changes
	g.changes = nil
	return changes
}

// Live returns the records of the nodes that are not dead, sorted by id.
func (g *Group) Live() []Record {
	g.refreshCaches()
	records := make([]Record, len(g.live))
	for i, e := range g.live {
		records[i] = e.Record
	}
	return records
}

// Working returns the ids of the nodes that are neither dead nor leaving, sorted.
func (g *Group) Working() []ident.Node {
	g.refreshCaches()
	var ids []ident.Node
	for _, e := range g.live {
		if !e.Leaving {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// Dead returns the ids of the dead nodes whose records are still kept, sorted.
func (g *Group) Dead() []ident.Node {
	var ids []ident.Node
	for id, e := range g.entries {
		if e.state == Dead {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Find returns a node's record and state, and whether the node is known.
func (g *Group) Find(id ident.Node) (Record, State, bool) {
	e, known := g.entries[id]
	if !known {
		return Record{}, Dead, false
	}
	return e.Record, e.state, true
}

// Neighbours returns the ids of the nodes that this node watches and of those that
// watch it, sorted.
func (g *Group) Neighbours() []ident.Node {
	g.refreshCaches()
	own := g.entries[g.self]
	all := slices.Clone(g.watchedIDs)
	for _, id := range g.ring.watchersOf(g.self, own.Zone) {
		if !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	return all
}

// Len returns the number of known nodes, including this one and dead ones.
func (g *Group) Len() int {
	return len(g.entries)
}

// peer returns the state of the exchanges with a node, and creates it if needed.
func (g *Group) peer(id ident.Node) *peer {
	p, known := g.peers[id]
	if !known {
		p = &peer{}
		g.peers[id] = p
	}
	return p
}

// exchange returns an Exchange with the next message for a node.
func (g *Group) exchange(id ident.Node, address string) Exchange {
	return Exchange{To: id, Address: address, Message: g.message(g.peer(id), id)}
}

// message returns the next message for a peer: the oldest changes that it has not
// received and did not send itself, as far as the budget allows.
func (g *Group) message(p *peer, to ident.Node) Message {
	m := Message{From: g.self, Revision: g.appliedRevision, StoreEra: g.storeEra, Digest: g.digest}
	p.sentSeq = p.ackedSeq
	var unsent []*entry
	for _, e := range g.entries {
		if e.changeSeq > p.ackedSeq && e.learnedFrom != to {
			unsent = append(unsent, e)
		}
	}
	own := g.entries[g.self]
	if p.includeSelf && own.changeSeq <= p.ackedSeq {
		m.Records = append(m.Records, own.Record)
	}
	p.nothingToSend = len(unsent) == 0
	slices.SortFunc(unsent, func(a, b *entry) int { return cmp.Compare(a.changeSeq, b.changeSeq) })
	for i, e := range unsent {
		if i == maxMessageRecords || g.budgetBytes < e.wireBytes() {
			return m
		}
		m.Records = append(m.Records, e.Record)
		p.sentSeq = max(p.sentSeq, e.changeSeq)
		g.budgetBytes -= e.wireBytes()
	}
	p.sentSeq = g.sequence
	return m
}

// compareRevision returns an exchange of revisions with a node drawn at random.
// Neighbours are close to each other on the ring, so through them alone a revision
// takes longer the larger the fleet is, and passes no place where a few are gone.
func (g *Group) compareRevision(t eval.Context) []Exchange {
	g.refreshCaches()
	if len(g.live) < 2 {
		return nil
	}
	e := g.live[t.Random.IntN(len(g.live))]
	if e.ID == g.self {
		return nil
	}
	return []Exchange{{Address: e.Address, Message: g.revisionMessage()}}
}

// revisionMessage returns a message with nothing but the revision and the era.
func (g *Group) revisionMessage() Message {
	return Message{From: g.self, Revision: g.appliedRevision, StoreEra: g.storeEra, RevisionOnly: true}
}

// sampleMessage returns the answer to a node that was unknown or dead: a random
// sample of the live nodes, through which it finds its neighbours, and its own
// record if it is dead, for it to refute. The neighbours send the other records. The
// small answer lets many nodes join through one.
func (g *Group) sampleMessage(t eval.Context, to ident.Node) Message {
	g.refreshCaches()
	live := slices.Clone(g.live)
	m := Message{From: g.self, Revision: g.appliedRevision, StoreEra: g.storeEra, Digest: g.digest, RecipientUnknown: true}
	for i := range min(maxSampleRecords, len(live)) {
		j := i + t.Random.IntN(len(live)-i)
		live[i], live[j] = live[j], live[i]
		m.Records = append(m.Records, live[i].Record)
	}
	if e, known := g.entries[to]; known && e.state == Dead {
		m.Records = append(m.Records, e.Record)
	}
	return m
}

// compareDigests schedules all records to be sent to a peer again if its digest
// differs for maxDigestMismatches exchanges in which neither side sent records.
func (g *Group) compareDigests(p *peer, m Message) {
	if !p.nothingToSend || len(m.Records) > 0 {
		return
	}
	if m.Digest == g.digest {
		p.digestMismatches = 0
		return
	}
	p.digestMismatches++
	if p.digestMismatches >= maxDigestMismatches {
		p.digestMismatches = 0
		p.ackedSeq = 0
	}
}

// refillBudget adds the budget for the time since the last call, up to
// maxBudgetBytes.
func (g *Group) refillBudget(now time.Time) {
	if !g.budgetRefilledAt.IsZero() {
		g.budgetBytes = min(maxBudgetBytes, g.budgetBytes+BudgetBytesPerSecond*now.Sub(g.budgetRefilledAt).Seconds())
	}
	g.budgetRefilledAt = now
}
