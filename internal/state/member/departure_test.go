package member_test

import (
	"fmt"
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

// TestDeparturesKeepWithinBudget guards against nodes that end because records with departures
// have taken more than the budget for records.
func TestDeparturesKeepWithinBudget(t *testing.T) {
	g := member.New(member.Config{Self: member.Record{ID: "node-0", Address: "a-0", Zone: "a"}})
	var records []member.Record
	for i := 1; i <= 500; i++ {
		r := member.Record{ID: ident.Node(fmt.Sprintf("node-%d", i)), Address: fmt.Sprintf("a-%d", i), Zone: "a", Incarnation: 1}
		for k := range 4 {
			r.Departures = append(r.Departures, member.Departure{Server: ident.Backend(fmt.Sprintf("i-%d-%d", i, k)), Incarnation: 1, At: 1})
		}
		records = append(records, r)
	}
	now := time.Unix(1, 0)
	g.MergeRecords(now, records)
	sent := 0
	for range 4 {
		for _, x := range g.ExchangeAll(eval.Context{Now: now, Random: eval.NewRandom(1)}) {
			sent += len(x.Message.Records)
			g.Failed(eval.Context{Now: now, Random: eval.NewRandom(1)}, x.To)
		}
	}
	assert.Check(t, sent > 0, "no record was sent")
}

// TestSeedIsKnownAfterLostAnswer guards against a node that restarts while the store is away and does not
// get to know the fleet: the seed's first answer to it was lost, and later ones left the seed's record
// out. The seed does not reach the node by itself.
func TestSeedIsKnownAfterLostAnswer(t *testing.T) {
	f := newFleet(6, 2, eval.NewRandom(1))
	requireAgreement(t, f, time.Minute)
	f.add(5, 2, 2)
	answers := 0
	f.loses = func(from, to int) bool {
		if from != 5 && to == 5 {
			answers++
		}
		return from != 5 && to == 5 && answers <= 2
	}
	for range 20 {
		f.now = f.now.Add(step)
		f.deliver(5, f.groups[5].Tick(f.turn()))
	}
	assert.Check(t, answers > 2, "%d answers", answers)
	assert.Check(t, len(f.groups[5].Live()) > 1, "the node knows no other")
}

// TestDeparturesStayWithinBudget guards against a node that ends itself or sends more than its budget
// when departures make the records of a large fleet longer than others are.
func TestDeparturesStayWithinBudget(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	records := make([]member.Record, 3000)
	for i := range records {
		records[i] = member.Record{
			ID: ident.Node(fmt.Sprintf("node-%d", i)), Address: fmt.Sprintf("10.1.%d.%d:1", i/250, i%250), Zone: "a", Incarnation: 1,
			Departures: []member.Departure{{Server: "i-0123456789", Incarnation: 1, At: 1}, {Server: "i-0123456789", Incarnation: 2, At: 2}},
		}
	}
	g := member.New(member.Config{Self: member.Record{ID: "self", Address: "10.0.0.1:1", Zone: "a", Incarnation: 1}})
	g.MergeRecords(now, records)
	sent := 0
	for range 40 {
		now = now.Add(time.Second)
		for _, r := range records[:50] {
			answer := g.Receive(eval.Context{Now: now, Random: eval.NewRandom(1)}, member.Message{From: r.ID, Records: []member.Record{r}})
			for _, r := range answer.Records {
				sent += recordBytes
				for _, d := range r.Departures {
					sent += len(d.Server) + 20
				}
			}
		}
	}
	// At first the saved budget is sent, then what comes in.
	assert.Check(t, sent > 500<<10 && sent <= 512<<10+40*member.BudgetBytesPerSecond, "%d bytes", sent)
}
