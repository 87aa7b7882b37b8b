package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/desk"
	"github.com/figwick/figwick/internal/policy/floor"
	"github.com/figwick/figwick/internal/policy/route"
	"github.com/figwick/figwick/internal/state/index"
	"github.com/figwick/figwick/internal/state/member"
)

const (
	// getEvery is how often the records of a wanted service are asked for.
	getEvery = 2 * time.Second
	// restEvery is the same while they do not change. It leaves a record room to
	// be renewed within its lease.
	restEvery = 5 * time.Second
	// wantedFor is how long a service is wanted after its last request.
	wantedFor = 2 * time.Minute
)

type (
	// directory puts the node's own records, gets those it wants, and owns the
	// directory of some services.
	directory struct {
		node   *Node
		mutex  sync.Mutex
		index  index.Index
		puts   map[ident.Service]*put
		wants  map[ident.Service]time.Time
		owners map[ident.Service][]string
		known  map[ident.Service]map[string]remembered
		source map[ident.Service]source
	}

	// remembered is a record and when its node put it.
	remembered struct {
		record *wire.ServiceRecord
		put    time.Time
		// current tells that it came with the last answer.
		current bool
	}

	// put is the last record that was put for a service. A touch only renews it.
	put struct {
		record *wire.ServiceRecord
		digest uint64
		owners []string
		at     time.Time
		touch  bool
	}

	// source is the owner that a service's records came from, and their digest.
	source struct {
		owner  string
		digest uint64
	}
)

func (d *directory) tick(ctx context.Context) {
	puts := d.duePuts()
	gets := d.dueGets()
	batches := map[string]*wire.Directory{}
	batch := func(address string) *wire.Directory {
		b, found := batches[address]
		if !found {
			b = &wire.Directory{From: string(d.node.config.ID)}
			batches[address] = b
		}
		return b
	}
	for _, p := range puts {
		for _, address := range p.owners {
			b := batch(address)
			if p.touch {
				b.Touches = append(b.Touches, &wire.Touch{Service: p.record.Service, Digest: p.digest})
				continue
			}
			b.Puts = append(b.Puts, p.record)
		}
	}
	for _, name := range gets {
		owners := addresses(d.node.fleet.ownersOf(string(name), index.Owners))
		if len(owners) == 0 {
			continue
		}
		owner := d.choose(name, owners)
		b := batch(owner)
		b.Gets = append(b.Gets, &wire.Get{Service: string(name), Digest: d.digestOf(name, owner)})
	}
	for address, b := range batches {
		go d.exchange(ctx, address, b)
	}
}

// choose keeps to one owner of a service as long as it answers.
func (d *directory) choose(name ident.Service, owners []string) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.owners == nil {
		d.owners = map[ident.Service][]string{}
	}
	tried := d.owners[name]
	for _, address := range owners {
		if !slices.Contains(tried, address) {
			return address
		}
	}
	d.owners[name] = nil
	return owners[0]
}

// duePuts returns the records that have changed or are due again.
func (d *directory) duePuts() []*put {
	records := d.node.ownRecords()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.puts == nil {
		d.puts = map[ident.Service]*put{}
	}
	now := d.node.config.Clock.Now()
	var due []*put
	present := map[ident.Service]bool{}
	for _, r := range records {
		name := ident.Service(r.Service)
		present[name] = true
		if p := d.due(now, name, r); p != nil {
			due = append(due, p)
		}
	}
	for name, p := range d.puts {
		if !present[name] {
			due = append(due, &put{record: &wire.ServiceRecord{
				Service: string(name), Node: string(d.node.config.ID), Address: d.node.config.Address,
			}, owners: p.owners})
			delete(d.puts, name)
		}
	}
	return due
}

func (d *directory) due(now time.Time, name ident.Service, r *wire.ServiceRecord) *put {
	owners := addresses(d.node.fleet.ownersOf(string(name), index.Owners))
	last, known := d.puts[name]
	same := known && slices.Equal(owners, last.owners) && equalRecords(last.record, r)
	handingOver := d.node.state.Load() == phaseHandingOver
	if same && !handingOver && now.Sub(last.at) < index.PutEvery {
		return nil
	}
	record := fromRecord(r)
	p := &put{record: r, digest: record.Digest(), owners: owners, at: now, touch: same && !handingOver}
	d.puts[name] = p
	return p
}

// digestOf returns the digest of what an owner gave last, if it was the last to
// give.
func (d *directory) digestOf(name ident.Service, owner string) uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if from := d.source[name]; from.owner == owner {
		return from.digest
	}
	return 0
}

// dueGets returns the services wanted by callers here, or served from here.
func (d *directory) dueGets() []ident.Service {
	now := d.node.config.Clock.Now()
	wanted := d.node.front.Used(now.Add(-wantedFor))
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for name := range d.puts {
		if !slices.Contains(wanted, name) {
			wanted = append(wanted, name)
		}
	}
	if d.wants == nil {
		d.wants = map[ident.Service]time.Time{}
	}
	var due []ident.Service
	for _, name := range wanted {
		if now.Before(d.wants[name]) {
			continue
		}
		d.wants[name] = now.Add(getEvery)
		due = append(due, name)
	}
	slices.Sort(due)
	return due
}

func (d *directory) exchange(ctx context.Context, address string, b *wire.Directory) {
	ctx, done := context.WithTimeout(ctx, exchangeTimeout)
	defer done()
	reply, err := ask[wire.DirectoryReply](ctx, d.node, address, wire.KindDirectory, b, wire.KindDirectoryReply)
	if err != nil {
		d.failed(address, b)
		return
	}
	d.moved(reply.Moved)
	d.putAgain(reply.Unknown)
	byService := map[string][]*wire.ServiceRecord{}
	for _, r := range reply.Records {
		byService[r.Service] = append(byService[r.Service], r)
	}
	for i, get := range b.Gets {
		if i >= len(reply.Found) {
			return
		}
		name := ident.Service(get.Service)
		if get.Digest != 0 && reply.Found[i] == get.Digest {
			d.learn(name, d.renewed(name))
			d.rest(name)
			continue
		}
		d.learn(name, byService[get.Service])
		d.from(name, source{owner: address, digest: reply.Found[i]})
	}
}

// rest asks for a service that has not changed less often.
func (d *directory) rest(name ident.Service) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.wants[name] = d.node.config.Clock.Now().Add(restEvery)
}

func (d *directory) from(name ident.Service, s source) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.source == nil {
		d.source = map[ident.Service]source{}
	}
	d.source[name] = s
}

// renewed returns the records of a service that an owner says are unchanged and
// fresh.
func (d *directory) renewed(name ident.Service) []*wire.ServiceRecord {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var records []*wire.ServiceRecord
	for _, k := range d.known[name] {
		if !k.current {
			continue
		}
		r := k.record
		r.AgeMs = index.Fresh.Milliseconds()
		records = append(records, r)
	}
	return records
}

// putAgain makes whole records due that an owner does not have.
func (d *directory) putAgain(names []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, name := range names {
		delete(d.puts, ident.Service(name))
	}
}

// failed asks another owner next time, and puts again.
func (d *directory) failed(address string, b *wire.Directory) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, get := range b.Gets {
		name := ident.Service(get.Service)
		d.wants[name] = time.Time{}
		d.owners[name] = append(d.owners[name], address)
	}
	for _, r := range b.Puts {
		if p, found := d.puts[ident.Service(r.Service)]; found {
			p.at = p.at.Add(-index.PutEvery / 2)
		}
	}
}

// learn takes the records of a service to the ingress and the sidecar. A record
// that an owner does not have stays until it lapses: an owner that has just
// taken over knows only a part.
func (d *directory) learn(name ident.Service, records []*wire.ServiceRecord) {
	self := string(d.node.config.ID)
	known := d.remember(name, records)
	var others []floor.Seen
	for _, r := range known {
		if r.Node != self {
			others = append(others, floor.Seen{
				Node: ident.Node(r.Node), Alive: int(r.Alive), InService: int(r.InService),
			})
		}
	}
	d.node.front.SetSidecars(name, sidecarsOf(known))
	d.node.side.Look(func(_ turn.Turn, k *desk.Desk) { k.SetOthers(name, others) })
}

// remember keeps the latest record of each node for as long as it is good.
func (d *directory) remember(name ident.Service, records []*wire.ServiceRecord) []*wire.ServiceRecord {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.node.config.Clock.Now()
	if d.known == nil {
		d.known = map[ident.Service]map[string]remembered{}
	}
	if d.known[name] == nil {
		d.known[name] = map[string]remembered{}
	}
	known := d.known[name]
	for node, k := range known {
		k.current = false
		known[node] = k
	}
	for _, r := range records {
		put := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		k, found := known[r.Node]
		if !found || put.After(k.put) {
			k = remembered{record: r, put: put}
		}
		k.current = true
		known[r.Node] = k
	}
	var good []*wire.ServiceRecord
	for _, node := range slices.Sorted(maps.Keys(known)) {
		if now.Sub(known[node].put) >= index.Lease {
			delete(known, node)
			continue
		}
		good = append(good, known[node].record)
	}
	return good
}

// moved forgets the backend servers that another node has by now.
func (d *directory) moved(marks []*wire.BackendMark) {
	for _, m := range marks {
		d.node.side.Do(func(t turn.Turn, k *desk.Desk) desk.Ops {
			ops, known := k.Moved(t, ident.Backend(m.Id), ident.Incarnation(m.Incarnation))
			if known {
				events.Emit(d.node.log, events.BackendMoved, "backend-server", m.Id)
			}
			return ops
		})
	}
}

// receive serves a node that puts to, or asks, the directory here.
func (d *directory) receive(b *wire.Directory) *wire.DirectoryReply {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.node.config.Clock.Now()
	reply := &wire.DirectoryReply{}
	for _, r := range b.Puts {
		for _, m := range d.index.Put(now, fromRecord(r)) {
			reply.Moved = append(reply.Moved, &wire.BackendMark{Id: string(m.ID), Incarnation: uint64(m.Incarnation)})
		}
	}
	for _, t := range b.Touches {
		if !d.index.Touch(now, ident.Service(t.Service), ident.Node(b.From), t.Digest) {
			reply.Unknown = append(reply.Unknown, t.Service)
		}
	}
	for _, get := range b.Gets {
		name := ident.Service(get.Service)
		digest, fresh := d.index.Digest(now, name)
		reply.Found = append(reply.Found, digest)
		if fresh && digest != 0 && digest == get.Digest {
			continue
		}
		if digest == get.Digest {
			reply.Found[len(reply.Found)-1] = 0
		}
		for _, f := range d.index.Get(now, name) {
			reply.Records = append(reply.Records, toFound(&f))
		}
	}
	return reply
}

// ask asks all owners of a service's directory at once and joins what they have.
// It reports false where none answers.
func (d *directory) ask(ctx context.Context, name ident.Service) ([]*wire.ServiceRecord, bool) {
	ctx, done := context.WithTimeout(ctx, exchangeTimeout)
	defer done()
	owners := d.node.fleet.ownersOf(string(name), index.Owners)
	replies := make([]*wire.DirectoryReply, len(owners))
	var asked sync.WaitGroup
	for i, owner := range owners {
		asked.Go(func() {
			replies[i], _ = ask[wire.DirectoryReply](ctx, d.node, owner.Address, wire.KindDirectory,
				&wire.Directory{From: string(d.node.config.ID), Gets: []*wire.Get{{Service: string(name)}}}, wire.KindDirectoryReply)
		})
	}
	asked.Wait()
	latest := map[string]*wire.ServiceRecord{}
	answered := false
	for _, reply := range replies {
		answered = answered || reply != nil
		for _, r := range reply.GetRecords() {
			if old, found := latest[r.Node]; !found || r.AgeMs < old.AgeMs {
				latest[r.Node] = r
			}
		}
	}
	return slices.Collect(maps.Values(latest)), answered
}

// Find returns the sidecars of a service that is new to the ingress here.
func (d *directory) Find(ctx context.Context, name ident.Service) []route.Sidecar {
	records, _ := d.ask(ctx, name)
	return sidecarsOf(d.remember(name, records))
}

func sidecarsOf(records []*wire.ServiceRecord) []route.Sidecar {
	sidecars := make([]route.Sidecar, 0, len(records))
	for _, r := range records {
		sidecars = append(sidecars, route.Sidecar{
			Address: r.Address,
			Node:    ident.Node(r.Node),
			Zone:    ident.Zone(r.Zone),
			Slots:   int(r.Slots),
			Leaving: r.Leaving,
		})
	}
	return sidecars
}

// ownRecords sums up the services behind this node's sidecar.
func (n *Node) ownRecords() []*wire.ServiceRecord {
	leaving := n.state.Load() == phaseDraining
	var records []*wire.ServiceRecord
	n.side.Look(func(t turn.Turn, d *desk.Desk) {
		for _, s := range d.Summaries(t) {
			r := &wire.ServiceRecord{
				Service: string(s.Service),
				Node:    string(n.config.ID),
				Address: n.config.Address,
				Zone:    string(n.config.Zone),
				Slots:   uint32(s.Slots),
				Leaving: leaving,
			}
			for _, m := range s.Marks {
				r.Backends = append(r.Backends, &wire.BackendMark{
					Id: string(m.ID), Incarnation: uint64(m.Incarnation), Standing: wire.Standing(m.Standing),
				})
			}
			records = append(records, r)
		}
	})
	return records
}

func equalRecords(a, b *wire.ServiceRecord) bool {
	return a.Slots == b.Slots && a.Leaving == b.Leaving &&
		slices.EqualFunc(a.Backends, b.Backends, func(x, y *wire.BackendMark) bool {
			return x.Id == y.Id && x.Incarnation == y.Incarnation && x.Standing == y.Standing
		})
}

func fromRecord(w *wire.ServiceRecord) index.Record {
	r := index.Record{
		Service: ident.Service(w.Service),
		Node:    ident.Node(w.Node),
		Address: w.Address,
		Zone:    ident.Zone(w.Zone),
		Slots:   int(w.Slots),
		Leaving: w.Leaving,
	}
	for _, m := range w.Backends {
		r.Backends = append(r.Backends, index.Mark{
			ID:          ident.Backend(m.Id),
			Incarnation: ident.Incarnation(m.Incarnation),
			Standing:    index.Standing(m.Standing),
		})
	}
	return r
}

func toFound(f *index.Found) *wire.ServiceRecord {
	return &wire.ServiceRecord{
		Service:   string(f.Service),
		Node:      string(f.Node),
		Address:   f.Address,
		Zone:      string(f.Zone),
		Slots:     uint32(f.Slots),
		Leaving:   f.Leaving,
		AgeMs:     f.Age.Milliseconds(),
		Alive:     uint32(f.Alive),
		InService: uint32(f.InService),
		Ejected:   uint32(f.Ejected),
		Draining:  uint32(f.Draining),
	}
}

func addresses(records []member.Record) []string {
	list := make([]string, len(records))
	for i := range records {
		list[i] = records[i].Address
	}
	return list
}
