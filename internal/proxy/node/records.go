package node

import (
	"slices"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/policy/route"
	"github.com/figwick/figwick/internal/state/index"
	"github.com/figwick/figwick/internal/state/member"
)

// sidecarsOf converts directory records to routing targets.
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

// ownRecords returns the directory records of this node: one for each service that
// has backend servers behind its sidecar.
func (n *Node) ownRecords() []*wire.ServiceRecord {
	leaving := n.state.Load() == phaseDraining
	var records []*wire.ServiceRecord
	n.side.WithController(func(t eval.Context, d *admit.Controller) {
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
					Id: string(m.ID), Incarnation: uint64(m.Incarnation), Standing: wire.Standing(m.State),
				})
			}
			records = append(records, r)
		}
	})
	return records
}

// equalRecords compares what may change in the records of one service and node.
func equalRecords(a, b *wire.ServiceRecord) bool {
	return a.Slots == b.Slots && a.Leaving == b.Leaving &&
		slices.EqualFunc(a.Backends, b.Backends, func(x, y *wire.BackendMark) bool {
			return x.Id == y.Id && x.Incarnation == y.Incarnation && x.Standing == y.Standing
		})
}

// recordFromWire converts a record as an owner of the directory stores it.
func recordFromWire(w *wire.ServiceRecord) index.Record {
	r := index.Record{
		Service: ident.Service(w.Service),
		Node:    ident.Node(w.Node),
		Address: w.Address,
		Zone:    ident.Zone(w.Zone),
		Slots:   int(w.Slots),
		Leaving: w.Leaving,
	}
	for _, m := range w.Backends {
		r.Backends = append(r.Backends, index.BackendEntry{
			ID:          ident.Backend(m.Id),
			Incarnation: ident.Incarnation(m.Incarnation),
			State:       index.State(m.Standing),
		})
	}
	return r
}

// listingToWire converts a record as an owner of the directory returns it, with its
// age and the numbers of its backend servers by state.
func listingToWire(f *index.Listing) *wire.ServiceRecord {
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

// addresses returns the peer addresses of the nodes, in the same order.
func addresses(records []member.Record) []string {
	list := make([]string, len(records))
	for i := range records {
		list[i] = records[i].Address
	}
	return list
}
