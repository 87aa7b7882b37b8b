package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/state/index"
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
		owners := addresses(d.node.fleet.ownersOf(string(name), index.OwnerCount))
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
	owners := addresses(d.node.fleet.ownersOf(string(name), index.OwnerCount))
	last, known := d.puts[name]
	same := known && slices.Equal(owners, last.owners) && equalRecords(last.record, r)
	handingOver := d.node.state.Load() == phaseHandingOver
	if same && !handingOver && now.Sub(last.at) < index.PutInterval {
		return nil
	}
	record := recordFromWire(r)
	p := &put{record: r, digest: record.Digest(), owners: owners, at: now, touch: same && !handingOver}
	d.puts[name] = p
	return p
}

// dueGets returns the services wanted by callers here, or served from here.
func (d *directory) dueGets() []ident.Service {
	now := d.node.config.Clock.Now()
	wanted := d.node.front.ActiveServices(now.Add(-wantedFor))
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
	d.removeMoved(reply.Moved)
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
			d.update(name, d.renewedRecords(name))
			d.postpone(name)
			continue
		}
		d.update(name, byService[get.Service])
		d.setSource(name, source{owner: address, digest: reply.Found[i]})
	}
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
			p.at = p.at.Add(-index.PutInterval / 2)
		}
	}
}

// receive serves a node that puts to, or asks, the directory here.
func (d *directory) receive(b *wire.Directory) *wire.DirectoryReply {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.node.config.Clock.Now()
	reply := &wire.DirectoryReply{}
	for _, r := range b.Puts {
		for _, m := range d.index.Put(now, recordFromWire(r)) {
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
			reply.Records = append(reply.Records, listingToWire(&f))
		}
	}
	return reply
}
