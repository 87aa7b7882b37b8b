package node

import (
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/state/member"
	"github.com/figwick/figwick/internal/state/store"
)

func toGossip(m member.Message) *wire.Gossip {
	g := &wire.Gossip{
		From: string(m.From), Revision: uint64(m.Revision), StoreEra: uint64(m.StoreEra), Digest: m.Digest,
		Stranger: m.RecipientUnknown, RevisionOnly: m.RevisionOnly,
	}
	for i := range m.Records {
		g.Nodes = append(g.Nodes, toNodeRecord(&m.Records[i]))
	}
	return g
}

func toNodeRecord(r *member.Record) *wire.NodeRecord {
	w := &wire.NodeRecord{
		Id:          string(r.ID),
		Address:     r.Address,
		Zone:        string(r.Zone),
		Instance:    uint64(r.Instance),
		Incarnation: uint64(r.Incarnation),
		Beat:        r.Heartbeat,
		Leaving:     r.Leaving,
		Gone:        r.Gone,
		Service:     string(r.Service),
		Slots:       uint32(r.Slots),
		Blind:       r.StoreUnreachable,
	}
	for _, id := range r.Accusers {
		w.Accusers = append(w.Accusers, string(id))
	}
	for _, d := range r.Departures {
		w.Departures = append(w.Departures, &wire.Departure{
			BackendServer: string(d.Server), Incarnation: uint64(d.Incarnation), At: d.At,
		})
	}
	return w
}

func fromGossip(g *wire.Gossip) member.Message {
	m := member.Message{
		From:             ident.Node(g.From),
		Revision:         ident.Revision(g.Revision),
		StoreEra:         store.Era(g.StoreEra),
		Digest:           g.Digest,
		RecipientUnknown: g.Stranger,
		RevisionOnly:     g.RevisionOnly,
		Records:          make([]member.Record, 0, len(g.Nodes)),
	}
	for _, w := range g.Nodes {
		m.Records = append(m.Records, fromNodeRecord(w))
	}
	return m
}

func fromNodeRecord(w *wire.NodeRecord) member.Record {
	r := member.Record{
		ID:               ident.Node(w.Id),
		Address:          w.Address,
		Zone:             ident.Zone(w.Zone),
		Instance:         ident.Instance(w.Instance),
		Incarnation:      ident.Incarnation(w.Incarnation),
		Heartbeat:        w.Beat,
		Leaving:          w.Leaving,
		Gone:             w.Gone,
		Service:          ident.Service(w.Service),
		Slots:            int(w.Slots),
		StoreUnreachable: w.Blind,
	}
	for _, id := range w.Accusers {
		r.Accusers = append(r.Accusers, ident.Node(id))
	}
	for _, d := range w.Departures {
		r.Departures = append(r.Departures, member.Departure{
			Server: ident.Backend(d.BackendServer), Incarnation: ident.Incarnation(d.Incarnation), At: d.At,
		})
	}
	return r
}
