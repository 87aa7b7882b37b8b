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
)

// digestOf returns the digest of what an owner gave last, if it was the last to
// give.
func (d *directory) digestOf(name ident.Service, owner string) uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if from := d.sources[name]; from.owner == owner {
		return from.digest
	}
	return 0
}

// rest asks for a service that has not changed less often.
func (d *directory) rest(name ident.Service) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.nextGets[name] = d.node.config.Clock.Now().Add(unchangedGetInterval)
}

func (d *directory) from(name ident.Service, s source) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.sources == nil {
		d.sources = map[ident.Service]source{}
	}
	d.sources[name] = s
}

// renewed returns the records of a service that an owner says are unchanged and
// fresh.
func (d *directory) renewed(name ident.Service) []*wire.ServiceRecord {
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

// learn takes the records of a service to the ingress and the sidecar. A record
// that an owner does not have stays until it lapses: an owner that has just
// taken over knows only a part.
func (d *directory) learn(name ident.Service, records []*wire.ServiceRecord) {
	self := string(d.node.config.ID)
	known := d.remember(name, records)
	var others []floor.NodeCounts
	for _, r := range known {
		if r.Node != self {
			others = append(others, floor.NodeCounts{
				Node: ident.Node(r.Node), Alive: int(r.Alive), InService: int(r.InService),
			})
		}
	}
	d.node.front.SetSidecars(name, sidecarsOf(known))
	d.node.side.WithController(func(_ turn.Turn, k *desk.Controller) { k.SetRemoteCounts(name, others) })
}

// remember keeps the latest record of each node for as long as it is good.
func (d *directory) remember(name ident.Service, records []*wire.ServiceRecord) []*wire.ServiceRecord {
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

// moved forgets the backend servers that another node has by now.
func (d *directory) moved(marks []*wire.BackendMark) {
	for _, m := range marks {
		d.node.side.Do(func(t turn.Turn, k *desk.Controller) desk.Ops {
			ops, known := k.Moved(t, ident.Backend(m.Id), ident.Incarnation(m.Incarnation))
			if known {
				events.Emit(d.node.log, events.BackendMoved, "backend-server", m.Id)
			}
			return ops
		})
	}
}

// ask asks all owners of a service's directory at once and joins what they have.
// It reports false where none answers.
func (d *directory) ask(ctx context.Context, name ident.Service) ([]*wire.ServiceRecord, bool) {
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

// Find returns the sidecars of a service that is new to the ingress here.
func (d *directory) Find(ctx context.Context, name ident.Service) []route.Sidecar {
	records, _ := d.ask(ctx, name)
	return sidecarsOf(d.remember(name, records))
}
