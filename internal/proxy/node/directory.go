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
	// getInterval is the interval at which the records of a wanted service are
	// fetched.
	getInterval = 2 * time.Second
	// unchangedGetInterval is that interval while the records do not change. It is
	// short enough to renew a cached record within its lease.
	unchangedGetInterval = 5 * time.Second
	// serviceIdleTimeout is how long after its last request a service counts as wanted.
	serviceIdleTimeout = 2 * time.Minute
)

type (
	// directory is the node's part in the service directory. As a client, it puts
	// records of the node's own backend servers to the owners of each service and
	// gets the records of the services it wants. As a server, it holds the index
	// of the services that this node owns.
	directory struct {
		node *Node
		// mutex guards the fields below.
		mutex sync.Mutex
		// index holds the records of the services that this node owns.
		index index.Index
		// puts holds the last record put for each service of this node.
		puts map[ident.Service]*put
		// nextGets holds the time at which each wanted service is fetched next.
		nextGets map[ident.Service]time.Time
		// failedOwners holds the addresses of the owners that failed to answer for a
		// service, since all of them last had.
		failedOwners map[ident.Service][]string
		// cached holds the cached records of each service, by node.
		cached map[ident.Service]map[string]cachedRecord
		// sources holds where the cached records of each service came from.
		sources map[ident.Service]source
	}

	// cachedRecord is a cached record.
	cachedRecord struct {
		record *wire.ServiceRecord
		// put is when the record's node put or touched it, as computed from the
		// record's age.
		put time.Time
		// current reports that the latest reply included the record.
		current bool
	}

	// put is a record sent, or to be sent, to the owners of its service. As a
	// touch, only the digest is sent, to renew the lease of an unchanged record.
	put struct {
		record *wire.ServiceRecord
		digest uint64
		owners []string
		at     time.Time
		touch  bool
	}

	// source is the address of the owner that a service's records came from, and
	// their combined digest.
	source struct {
		owner  string
		digest uint64
	}
)

// tick sends the puts and gets that are due, in one message per owner.
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
		owner := d.chooseOwner(name, owners)
		b := batch(owner)
		b.Gets = append(b.Gets, &wire.Get{Service: string(name), Digest: d.digestOf(name, owner)})
	}
	for address, b := range batches {
		go d.exchange(ctx, address, b)
	}
}

// chooseOwner returns the first owner that has not failed to answer for the service.
// If all have failed, it starts again with the first. Staying with one owner keeps
// the digests comparable, so that unchanged records are not sent again.
func (d *directory) chooseOwner(name ident.Service, owners []string) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.failedOwners == nil {
		d.failedOwners = map[ident.Service][]string{}
	}
	failed := d.failedOwners[name]
	for _, address := range owners {
		if !slices.Contains(failed, address) {
			return address
		}
	}
	d.failedOwners[name] = nil
	return owners[0]
}

// duePuts returns the records that have changed or need renewal. For a service
// that the node no longer has, it returns an empty record, which removes the old
// one from the directory.
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
		if p := d.duePut(now, name, r); p != nil {
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

// duePut returns the put for a record, or nil if the owners already have it and its
// renewal is not due. While the node hands over its backend servers, records are
// always put in full. The mutex is held.
func (d *directory) duePut(now time.Time, name ident.Service, r *wire.ServiceRecord) *put {
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

// dueGets returns the services to fetch now. Wanted are those that callers of this
// node use and those whose backend servers are registered with it.
func (d *directory) dueGets() []ident.Service {
	now := d.node.config.Clock.Now()
	wanted := d.node.front.ActiveServices(now.Add(-serviceIdleTimeout))
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for name := range d.puts {
		if !slices.Contains(wanted, name) {
			wanted = append(wanted, name)
		}
	}
	if d.nextGets == nil {
		d.nextGets = map[ident.Service]time.Time{}
	}
	var due []ident.Service
	for _, name := range wanted {
		if now.Before(d.nextGets[name]) {
			continue
		}
		d.nextGets[name] = now.Add(getInterval)
		due = append(due, name)
	}
	slices.Sort(due)
	return due
}

// exchange sends a batch to an owner and processes the reply.
func (d *directory) exchange(ctx context.Context, address string, b *wire.Directory) {
	ctx, done := context.WithTimeout(ctx, exchangeTimeout)
	defer done()
	reply, err := call[wire.DirectoryReply](ctx, d.node, address, wire.KindDirectory, b, wire.KindDirectoryReply)
	if err != nil {
		d.exchangeFailed(address, b)
		return
	}
	d.removeMoved(reply.Moved)
	d.forgetPuts(reply.Unknown)
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

// forgetPuts forgets the last puts of services whose records an owner does not
// have, so that the next tick puts them in full.
func (d *directory) forgetPuts(names []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, name := range names {
		delete(d.puts, ident.Service(name))
	}
}

// exchangeFailed handles an exchange without a reply. The next tick tries its gets with
// another owner, and its puts become due half a PutInterval earlier.
func (d *directory) exchangeFailed(address string, b *wire.Directory) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, get := range b.Gets {
		name := ident.Service(get.Service)
		d.nextGets[name] = time.Time{}
		d.failedOwners[name] = append(d.failedOwners[name], address)
	}
	for _, r := range b.Puts {
		if p, found := d.puts[ident.Service(r.Service)]; found {
			p.at = p.at.Add(-index.PutInterval / 2)
		}
	}
}

// receive applies another node's puts and touches to the services that this node
// owns and answers its gets. Found holds one digest per get. Records are left out
// for a reader that has the same digest while all of them are fresh. If the digest
// is the same but not all are fresh, the records are sent with digest 0, so that
// the reader takes them as new.
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
