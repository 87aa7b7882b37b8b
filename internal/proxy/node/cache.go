package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/policy/floor"
	"github.com/figwick/figwick/internal/policy/route"
	"github.com/figwick/figwick/internal/state/index"
)

// digestOf returns the digest of the records that this node has of a service, if
// they came from this owner. Otherwise it returns zero, which makes the owner send
// its records in full.
func (d *directory) digestOf(name ident.Service, owner string) uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if from := d.sources[name]; from.owner == owner {
		return from.digest
	}
	return 0
}

// postpone sets the next lookup of a service whose records have not changed. It is
// later than usual.
func (d *directory) postpone(name ident.Service) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.nextGets[name] = d.node.config.Clock.Now().Add(unchangedGetInterval)
}

// setSource records which owner the records of a service came from.
func (d *directory) setSource(name ident.Service, s source) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.sources == nil {
		d.sources = map[ident.Service]source{}
	}
	d.sources[name] = s
}

// renewedRecords returns the current records of a service after an owner has
// reported that they are unchanged and fresh. The owner does not send their ages
// then, so all get index.FreshAge, the upper bound for a fresh record.
func (d *directory) renewedRecords(name ident.Service) []*wire.ServiceRecord {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var records []*wire.ServiceRecord
	for _, k := range d.cached[name] {
		if !k.current {
			continue
		}
		r := k.record
		r.AgeMs = index.FreshAge.Milliseconds()
		records = append(records, r)
	}
	return records
}

// update merges records of a service that an owner has returned, and passes the
// result to the ingress and the sidecar. A known record that the owner does not
// return stays until it expires: an owner that has just become one has received
// only a part of the records.
func (d *directory) update(name ident.Service, records []*wire.ServiceRecord) {
	self := string(d.node.config.ID)
	known := d.merge(name, records)
	var others []floor.NodeCounts
	for _, r := range known {
		if r.Node != self {
			others = append(others, floor.NodeCounts{
				Node: ident.Node(r.Node), Alive: int(r.Alive), InService: int(r.InService),
			})
		}
	}
	d.node.front.SetSidecars(name, sidecarsOf(known))
	d.node.side.WithController(func(_ eval.Context, controller *admit.Controller) { controller.SetRemoteCounts(name, others) })
}

// merge adds records to the known ones, keeps the latest of each node, and returns
// those that have not expired, sorted by node.
func (d *directory) merge(name ident.Service, records []*wire.ServiceRecord) []*wire.ServiceRecord {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.node.config.Clock.Now()
	if d.cached == nil {
		d.cached = map[ident.Service]map[string]cachedRecord{}
	}
	if d.cached[name] == nil {
		d.cached[name] = map[string]cachedRecord{}
	}
	known := d.cached[name]
	for node, k := range known {
		k.current = false
		known[node] = k
	}
	for _, r := range records {
		put := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		k, found := known[r.Node]
		if !found || put.After(k.put) {
			k = cachedRecord{record: r, put: put}
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

// removeMoved removes the backend servers that have announced themselves to another
// node in the meantime.
func (d *directory) removeMoved(marks []*wire.BackendMark) {
	for _, m := range marks {
		d.node.side.Do(func(t eval.Context, controller *admit.Controller) admit.Ops {
			ops, known := controller.Moved(t, ident.Backend(m.Id), ident.Incarnation(m.Incarnation))
			if known {
				events.Emit(d.node.log, events.BackendMoved, "backend-server", m.Id)
			}
			return ops
		})
	}
}

// queryOwners asks all owners of a service's directory at once and merges their
// records: of each node it returns the one with the lowest age. It blocks for up
// to exchangeTimeout and reports false if no owner answers.
func (d *directory) queryOwners(ctx context.Context, name ident.Service) ([]*wire.ServiceRecord, bool) {
	ctx, done := context.WithTimeout(ctx, exchangeTimeout)
	defer done()
	owners := d.node.fleet.ownersOf(string(name), index.OwnerCount)
	replies := make([]*wire.DirectoryReply, len(owners))
	var asked sync.WaitGroup
	for i, owner := range owners {
		asked.Go(func() {
			replies[i], _ = call[wire.DirectoryReply](ctx, d.node, owner.Address, wire.KindDirectory,
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

// Find looks up the sidecars of a service for the ingress, which calls it when it
// has no usable sidecar. It blocks as long as queryOwners does.
func (d *directory) Find(ctx context.Context, name ident.Service) []route.Sidecar {
	records, _ := d.queryOwners(ctx, name)
	return sidecarsOf(d.merge(name, records))
}
