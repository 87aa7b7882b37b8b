package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

// maxDepartures is the largest number of departures that a record holds. Those acknowledged
// first are dropped.
const maxDepartures = 4

// Departure records that a node has acknowledged the departure of a backend server with the
// given incarnation. Announcements with the same or a lower incarnation are stale.
type Departure struct {
	Server      ident.Backend     `json:"backend-server"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// At is the time of the acknowledgement in Unix milliseconds.
	At uint64 `json:"at,omitempty"`
}

// mergeDepartures returns the last maxDepartures of two lists, in the order of their times. Nodes
// that have merged the same lists in any order have the same result. It does not change the lists.
func mergeDepartures(a, b []Departure) []Departure {
	if len(b) == 0 {
		return a
	}
	all := slices.Concat(a, b)
	slices.SortFunc(all, func(x, y Departure) int {
		return cmp.Or(cmp.Compare(x.At, y.At), cmp.Compare(x.Server, y.Server), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	all = slices.Compact(all)
	return all[max(0, len(all)-maxDepartures):]
}

// AddDepartures adds departures to this node's own record, which the other nodes keep when this
// node restarts.
func (g *Group) AddDepartures(now time.Time, departures []Departure) {
	own := g.entries[g.self]
	if own.addDepartures(departures) {
		g.noteChange(now, own, "")
	}
}

// LearnedDepartures returns the departures of this node's own record that other nodes have
// added since the last call: earlier runs of this node have acknowledged them.
func (g *Group) LearnedDepartures() []Departure {
	learned := g.learnedDepartures
	g.learnedDepartures = nil
	return learned
}

// OwnRecordExchanges returns an exchange with each neighbour that carries this node's own record,
// also with those that have another exchange in flight. The answers hold the departures that the
// record lacks.
func (g *Group) OwnRecordExchanges() []Exchange {
	m := Message{
		From: g.self, Revision: g.appliedRevision, StoreEra: g.storeEra, Digest: g.digest, Records: []Record{g.Self()},
	}
	var exchanges []Exchange
	for _, id := range g.Neighbours() {
		exchanges = append(exchanges, Exchange{Address: g.entries[id].Address, Message: m})
	}
	return exchanges
}

// learnDepartures adds the departures of a record of this node that another node sent.
func (g *Group) learnDepartures(now time.Time, departures []Departure) {
	own := g.entries[g.self]
	before := own.Departures
	g.AddDepartures(now, departures)
	for _, d := range own.Departures {
		if !slices.Contains(before, d) {
			g.learnedDepartures = append(g.learnedDepartures, d)
		}
	}
}

// addDepartures adds departures and reports whether the record has changed.
func (a *Record) addDepartures(departures []Departure) bool {
	merged := mergeDepartures(a.Departures, departures)
	changed := !slices.Equal(merged, a.Departures)
	a.Departures = merged
	return changed
}

// returnDepartures adds the sender's record to the answer to its message if the message's
// version of it lacks departures. The sender has restarted, and its answer to announcements of
// these servers waits for them.
func (g *Group) returnDepartures(m Message, answer *Message) {
	e, known := g.entries[m.From]
	if !known || len(e.Departures) == 0 {
		return
	}
	isSender := func(r Record) bool { return r.ID == m.From }
	i := slices.IndexFunc(m.Records, isSender)
	if i < 0 || slices.Equal(m.Records[i].Departures, e.Departures) {
		return
	}
	answer.Records = slices.DeleteFunc(slices.Clone(answer.Records), isSender)
	answer.Records = append(answer.Records, e.Record)
}
