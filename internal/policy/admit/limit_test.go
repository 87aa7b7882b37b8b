package admit_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/policy/health"
	"github.com/figwick/figwick/internal/state/config"
	"github.com/figwick/figwick/internal/state/roster"
)

const (
	// limitWindow, limitFactor and limitBase are the platform's bound: in any window a
	// server gets at most the factor times what its limit allows, plus the base.
	// limitGrace is the time from the first naming to the begin of the first window.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitBase   = 5
	limitGrace  = 3 * time.Second
	// heartbeat is the time until a restarted sidecar hears of its server again.
	heartbeat = 1500 * time.Millisecond

	limitedFile = `
version: 1
services:
  - name: ledger
    hosts: [ledger.test]
    floor: 1
    slots: 5
    queue: {length: 24}
    backend-servers: [{id: "*"}]
`
)

type (
	// limitedServer simulates, in virtual time, the sidecar of a server that names a limit, and
	// the ingresses of a fleet that all send it requests.
	limitedServer struct {
		t          *testing.T
		random     *rand.Rand
		table      *config.Table
		controller *admit.Controller
		events     eventHeap
		now        time.Time
		runs       int
		limit      float64
		named      bool
		// arrivals are the times at which requests reached the server.
		arrivals []time.Time
		pauses   int
	}

	eventHeap []event

	event struct {
		at  time.Time
		run func()
	}
)

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newLimitedServer(t *testing.T, seed uint64, limit float64) *limitedServer {
	parsed, err := config.Parse([]byte(limitedFile))
	assert.NilError(t, err)
	s := &limitedServer{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), table: config.Compile(1, parsed), now: time.Unix(1_000_000, 0), limit: limit,
	}
	s.restart(0)
	s.every(50*time.Millisecond, func() { s.start(s.controller.Tick(s.turn())) })
	return s
}

func (s *limitedServer) turn() eval.Context {
	return eval.Context{Now: s.now, Random: s.random}
}

func (s *limitedServer) after(wait time.Duration, run func()) {
	heap.Push(&s.events, event{s.now.Add(wait), run})
}

func (s *limitedServer) every(interval time.Duration, run func()) {
	s.after(interval, func() {
		run()
		s.every(interval, run)
	})
}

// restart replaces the sidecar by a new run without state, which hears of its server a
// while later.
func (s *limitedServer) restart(wait time.Duration) {
	s.runs++
	run := s.runs
	s.controller = admit.New("node-1", ident.Instance(run))
	s.controller.SetPrior(health.Baseline{Mean: math.Log(0.3), Spread: 0.6, FailureRate: 0.05, Weight: 1, UnhealthyFailureRate: 0.6})
	s.controller.Configure(s.turn(), s.table)
	s.after(wait, func() {
		if s.runs == run {
			s.announce(roster.Serving)
		}
	})
}

func (s *limitedServer) announce(state roster.State) {
	ops, err := s.controller.Announce(s.turn(), roster.Announcement{
		ID: "ledger-1", Service: "ledger", Address: "10.0.0.1:80", Slots: 5, Incarnation: 1, State: state,
	})
	assert.NilError(s.t, err)
	s.start(ops)
}

// send sends a request from one of the ingresses.
func (s *limitedServer) send(id ident.Attempt, noWait bool) {
	d := s.controller.Admit(s.turn(), admit.Attempt{
		ID: id, Service: "ledger", Repeatable: true, NoWait: noWait,
		StartBefore: s.now.Add(2 * time.Second), Deadline: s.now.Add(3 * time.Second), Target: time.Second,
	})
	switch d.Kind {
	case admit.Granted:
		s.arrive(id)
	case admit.Refused:
		if d.Pause > 0 {
			s.pauses++
		}
	}
}

func (s *limitedServer) start(ops admit.Ops) {
	for _, g := range ops.Grants {
		s.arrive(g.Attempt)
	}
}

// arrive runs a request at the server, whose response names the limit.
func (s *limitedServer) arrive(id ident.Attempt) {
	run := s.runs
	s.arrivals = append(s.arrivals, s.now)
	took := time.Duration((0.05 + s.random.ExpFloat64()*0.25) * float64(time.Second))
	s.after(took, func() {
		if s.runs != run {
			return
		}
		notice := admit.Notice{Limit: admit.Limit{Named: s.named, PerSecond: s.limit}}
		ops, _ := s.controller.ApplyNotice(s.turn(), id, notice)
		s.start(ops)
		s.start(s.controller.Finish(s.turn(), id, health.Result{Outcome: health.OK, Took: took}, nil))
	})
}

func (s *limitedServer) play(until time.Duration) {
	end := time.Unix(1_000_000, 0).Add(until)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		next, _ := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}

// most returns the largest number of arrivals in a window that begins in a span.
func (s *limitedServer) most(from, to time.Time) int {
	most := 0
	for i, first := range s.arrivals {
		if first.Before(from) || first.After(to) {
			continue
		}
		n := 0
		for _, a := range s.arrivals[i:] {
			if a.Sub(first) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestServerOverNamedLimit guards against a backend server that gets far more requests than the
// limit that it has named, from fleets of any size and over restarts of its sidecar.
func TestServerOverNamedLimit(t *testing.T) {
	const namedAt, liftedAt, end = 10 * time.Second, 40 * time.Second, 60 * time.Second
	for seed, limit := range []float64{0, 0.2, 0.5, 1, 3, 7.5} {
		for _, ingresses := range []int{18, 103, 350} {
			for _, restarts := range []bool{false, true} {
				t.Run(fmt.Sprintf("limit=%g/ingresses=%d/restarts=%t", limit, ingresses, restarts), func(t *testing.T) {
					s := newLimitedServer(t, uint64(seed), limit)
					sent := 0
					for range ingresses {
						var next func()
						next = func() {
							sent++
							s.send(ident.Attempt(fmt.Sprint(sent)), s.random.IntN(2) == 0)
							// All ingresses together send 30 requests a second.
							s.after(time.Duration(s.random.ExpFloat64()*float64(ingresses)/30*float64(time.Second)), next)
						}
						s.after(time.Duration(s.random.Float64()*float64(time.Second)), next)
					}
					begin := s.now
					s.after(namedAt, func() { s.named = true })
					s.after(liftedAt, func() { s.named = false })
					if restarts {
						s.every(6*time.Second, func() { s.restart(heartbeat) })
					} else {
						s.every(heartbeat, func() { s.announce(roster.Serving) })
					}
					s.play(end)

					allowed := limitFactor*limit*limitWindow.Seconds() + limitBase
					got := s.most(begin.Add(namedAt+limitGrace), begin.Add(liftedAt-limitWindow))
					assert.Check(t, float64(got) <= allowed, "%d requests in %s, at most %g", got, limitWindow, allowed)
					assert.Check(t, s.pauses > 0 || limit > 2, "no refusal says when to come back")
					if !restarts {
						assert.Check(t, got >= int(limit*limitWindow.Seconds()), "%d requests in %s, the limit allows more", got, limitWindow)
						free := s.most(begin.Add(liftedAt+limitWindow), begin.Add(end-limitWindow))
						assert.Check(t, free > 20, "%d requests in %s without a limit", free, limitWindow)
					}
				})
			}
		}
	}
}

// TestOlderResponseDoesNotLiftLimit guards against a limit that ends with a response to a request that
// had started before the server named it.
func TestOlderResponseDoesNotLiftLimit(t *testing.T) {
	s := newLimitedServer(t, 1, 1)
	s.play(8 * time.Second)
	for _, id := range []ident.Attempt{"old", "naming"} {
		s.send(id, true)
	}
	assert.Equal(t, len(s.arrivals), 2)
	s.now = s.now.Add(time.Millisecond)
	apply := func(id ident.Attempt, limit admit.Limit) {
		s.controller.ApplyNotice(s.turn(), id, admit.Notice{Limit: limit})
	}
	apply("naming", admit.Limit{Named: true, PerSecond: 1})
	apply("old", admit.Limit{})
	s.send("refused", true)
	assert.Equal(t, len(s.arrivals), 2)
	assert.Equal(t, *s.controller.Dump(s.turn()).Services[0].Servers[0].Limit, 1.0)
	s.now = s.now.Add(time.Second)
	s.send("next", true)
	assert.Equal(t, len(s.arrivals), 3)
	apply("next", admit.Limit{Unreadable: true})
	s.send("still limited", true)
	assert.Equal(t, len(s.arrivals), 3)
	apply("next", admit.Limit{})
	s.send("lifted", true)
	assert.Equal(t, len(s.arrivals), 4)
	assert.Check(t, s.controller.Dump(s.turn()).Services[0].Servers[0].Limit == nil)
}

// TestLeavingServerGetsNothing guards against requests to a server that has said in a response that it
// leaves: a late announcement does not bring it back, nor does a restart of its sidecar if an
// ingress remembers.
func TestLeavingServerGetsNothing(t *testing.T) {
	s := newLimitedServer(t, 1, 0)
	s.play(8 * time.Second)
	s.send("1", true)
	ops, leaving := s.controller.ApplyNotice(s.turn(), "1", admit.Notice{Leaving: true})
	s.start(ops)
	assert.Check(t, leaving)
	_, leaving = s.controller.ApplyNotice(s.turn(), "1", admit.Notice{Leaving: true})
	assert.Check(t, !leaving, "it is known already")
	service, slots := s.controller.Serving()
	assert.Equal(t, slots, 0, "slots of %s", service)
	s.send("2", true)
	s.announce(roster.Serving)
	s.send("3", true)
	assert.Equal(t, len(s.arrivals), 1)

	s.restart(time.Hour)
	s.announce(roster.Serving)
	s.start(s.controller.RestoreLeaving(s.turn(), "ledger-1", 1))
	s.send("4", true)
	assert.Equal(t, len(s.arrivals), 1)

	s.restart(time.Hour)
	s.start(s.controller.RestoreLeaving(s.turn(), "ledger-1", 1))
	_, err := s.controller.Announce(s.turn(), roster.Announcement{
		ID: "ledger-1", Service: "ledger", Address: "10.0.0.1:80", Slots: 5, Incarnation: 2, State: roster.Serving,
	})
	assert.NilError(t, err)
	s.start(s.controller.RestoreLeaving(s.turn(), "ledger-1", 1))
	s.send("5", true)
	assert.Equal(t, len(s.arrivals), 2, "a new incarnation serves")
}
