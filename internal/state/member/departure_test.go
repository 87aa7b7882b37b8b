package member_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/fake/check"
	"github.com/figwick/figwick/internal/state/member"
)

// departuresAgree reports whether every running node has the same departures of each node, and
// the given one of node i.
func (f *fleet) departuresAgree(i int, d member.Departure) bool {
	for j, g := range f.groups {
		if f.down[j] {
			continue
		}
		r, _, _ := g.Find(f.nodes[i].ID)
		own := f.groups[i].Self()
		if len(r.Departures) != len(own.Departures) || r.Departures[len(r.Departures)-1] != d {
			return false
		}
	}
	return true
}

// TestRestartedNodeLearnsDepartures guards against a node that restarts and does not get from its
// neighbours, with the answers to its first messages, the departures that it has acknowledged.
// They have its earlier record, whether it is dead for them or not.
func TestRestartedNodeLearnsDepartures(t *testing.T) {
	for _, downtime := range []time.Duration{0, 30 * time.Second} {
		f := newFleet(30, 3, eval.NewRandom(1))
		requireAgreement(t, f, time.Minute)
		left := member.Departure{Server: "i-1", Incarnation: 1000, At: 2000}
		f.groups[7].AddDepartures(f.now, []member.Departure{left})
		f.deliver(7, f.groups[7].OwnRecordExchanges())
		f.down[7] = true
		f.advanceUntil(downtime, func() bool { return false })

		f.add(7, 3, 2)
		delete(f.down, 7)
		f.groups[7].MergeRecords(f.now, f.nodes[:7])
		f.groups[7].MergeRecords(f.now, f.nodes[8:])
		f.deliver(7, f.groups[7].OwnRecordExchanges())
		assert.DeepEqual(t, f.groups[7].LearnedDepartures(), []member.Departure{left})
		assert.Equal(t, len(f.groups[7].LearnedDepartures()), 0)
		_, ok := f.advanceUntil(time.Minute, func() bool { return f.departuresAgree(7, left) })
		assert.Assert(t, ok, "not all nodes have the departure")
	}
}

// TestDeparturesConverge guards against departures that some nodes keep and others drop for good,
// which would make them send all records again and again: nodes acknowledge more than a record
// holds, restart and are cut off from each other.
func TestDeparturesConverge(t *testing.T) {
	check.Run(t, func(t *rapid.T) {
		d := check.NewUniformRand(t)
		f := newFleet(d.Between(3, 8), d.Between(1, 3), d.Random())
		victim := d.IntN(len(f.groups))
		var last member.Departure
		for i := range d.Between(2, 12) {
			last = member.Departure{Server: "i-1", Incarnation: ident.Incarnation(d.Between(1, 3)), At: uint64(i + 1)}
			f.groups[victim].AddDepartures(f.now, []member.Departure{last})
			switch d.IntN(4) {
			case 0:
				f.add(victim, 3, ident.Incarnation(i+2))
				f.groups[victim].AddDepartures(f.now, []member.Departure{last})
			case 1:
				f.loses = func(from, to int) bool { return from%2 != to%2 }
			case 2:
				f.loses = func(int, int) bool { return false }
			}
			for range d.Between(0, 20) {
				f.advance()
			}
		}
		f.loses = func(int, int) bool { return false }
		agree := func() bool { return f.viewsAgree() && f.departuresAgree(victim, last) }
		if _, ok := f.advanceUntil(5*time.Minute, agree); !ok {
			t.Fatal("the nodes still have different departures five minutes after the last fault")
		}
	})
}
