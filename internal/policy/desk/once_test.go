package desk_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/fake/check"
	"github.com/figwick/figwick/internal/policy/desk"
	"github.com/figwick/figwick/internal/policy/fence"
	"github.com/figwick/figwick/internal/policy/health"
	"github.com/figwick/figwick/internal/policy/retry"
	"github.com/figwick/figwick/internal/state/config"
	"github.com/figwick/figwick/internal/state/roster"
)

const (
	timeout = 5 * time.Second
	file    = `
version: 1
services:
  - name: ledger
    hosts: [ledger.test]
    floor: 1
    slots: 1
    ejection: {cold-start: 1ms}
    backend-servers: [{id: "*"}]
`
)

// What callers are told in the end.
const (
	pending = iota
	answered
	notRun
	unknown
)

// faults is what goes wrong, in percent of the occasions.
type faults struct {
	// loss is messages that never arrive, noWay fences without a way.
	loss, noWay int
	restart     int
	pause       int
	// truncated is runs without a whole answer.
	truncated int
}

var allFaults = faults{loss: 10, noWay: 10, restart: 20, pause: 20, truncated: 20}

// world is sidecars and ingresses whose messages an adversary delivers late,
// out of order or never. Every request must not repeat.
type world struct {
	t        *rapid.T
	dice     *check.Dice
	faults   faults
	now      time.Time
	table    *config.Table
	sidecars []*sidecar
	requests []*request
	net      []func()
	next     int
}

type sidecar struct {
	desk     *desk.Desk
	instance ident.Instance
	waiting  map[ident.Attempt]*request
	running  map[ident.Attempt]*request
}

type request struct {
	runs    int
	told    int
	plan    retry.Plan
	attempt ident.Attempt
	at      *sidecar
	// instance and before are the attempt's stamp.
	instance ident.Instance
	before   time.Time
	fencing  bool
}

func newWorld(t *rapid.T, f faults) *world {
	parsed, err := config.Parse([]byte(file))
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, dice: check.NewDice(t), faults: f, now: time.Unix(1_000_000, 0), table: config.Compile(1, parsed)}
	for range 2 {
		s := &sidecar{}
		w.sidecars = append(w.sidecars, s)
		w.restart(s)
	}
	return w
}

func (w *world) turn() turn.Turn { return turn.Turn{Now: w.now, Random: w.dice.Random()} }

// restart replaces a sidecar: what it knew is gone, what ran has run.
func (w *world) restart(s *sidecar) {
	w.next++
	s.instance = ident.Instance(w.next)
	s.desk = desk.New(ident.Node(fmt.Sprint(w.next)), s.instance)
	s.desk.Configure(w.turn(), w.table)
	s.waiting = map[ident.Attempt]*request{}
	s.running = map[ident.Attempt]*request{}
	w.announce(s)
}

func (w *world) announce(s *sidecar) {
	for i := range 2 {
		ops, err := s.desk.Announce(w.turn(), roster.Announcement{
			ID: ident.Backend(fmt.Sprint(i)), Service: "ledger", Address: "10.0.0.1:80",
			Slots: 1, Incarnation: 1, State: roster.Serving,
		})
		if err != nil {
			w.t.Fatal(err)
		}
		w.apply(s, ops)
	}
}

// submit brings a new request.
func (w *world) submit() {
	r := &request{}
	r.plan = retry.Plan{MaxAttempts: 3, Deadline: w.now.Add(timeout), Budget: &retry.Budget{}}
	w.requests = append(w.requests, r)
	w.send(r)
}

// send makes an attempt; the stamp is a lower bound of the sidecar's clock.
func (w *world) send(r *request) {
	w.next++
	s := w.sidecars[w.dice.Upto(len(w.sidecars))]
	r.attempt, r.at, r.instance, r.fencing = ident.Attempt(fmt.Sprint(w.next)), s, s.instance, false
	r.before = r.plan.Deadline.Add(-time.Duration(w.dice.Upto(100)) * time.Millisecond)
	id, before, instance := r.attempt, r.before, r.instance
	w.post(func() { w.arrive(s, r, id, instance, before) })
}

// post puts a message on its way; some never arrive. None arrives twice: each
// exchange has a stream of its own.
func (w *world) post(deliver func()) {
	if w.dice.Chance(w.faults.loss) {
		return
	}
	w.net = append(w.net, deliver)
}

func (w *world) arrive(s *sidecar, r *request, id ident.Attempt, instance ident.Instance, before time.Time) {
	if instance != s.instance {
		w.refused(r, id)
		return
	}
	d := s.desk.Admit(w.turn(), desk.Attempt{ID: id, Service: "ledger", StartBefore: before, Deadline: before})
	switch d.Kind {
	case desk.Granted:
		w.start(s, r, id)
	case desk.Waiting:
		s.waiting[id] = r
	default:
		if d.Reason != desk.Duplicate {
			w.refused(r, id)
		}
	}
}

func (w *world) start(s *sidecar, r *request, id ident.Attempt) {
	r.runs++
	s.running[id] = r
	if r.runs > 1 {
		w.t.Fatalf("a request ran %d times", r.runs)
	}
	if r.told == notRun {
		w.t.Fatal("a request ran that its caller was told did not")
	}
}

// refused sends the refusal back; it may get lost, and then the ingress asks.
func (w *world) refused(r *request, id ident.Attempt) {
	w.post(func() {
		if r.attempt == id && r.told == pending {
			w.step(r, retry.Refused)
		}
	})
}

func (w *world) step(r *request, o retry.Outcome) {
	switch r.plan.Next(w.now, o) {
	case retry.TryAgain:
		w.send(r)
	case retry.GiveUpNotRun:
		w.tell(r, notRun)
	default:
		w.tell(r, unknown)
	}
}

func (w *world) tell(r *request, what int) {
	r.told = what
	if what == notRun && r.runs > 0 {
		w.t.Fatal("told not-run, but it ran")
	}
	if what == answered && r.runs != 1 {
		w.t.Fatalf("answered, but it ran %d times", r.runs)
	}
}

// finish ends a run with an answer that may get lost.
func (w *world) finish(s *sidecar) {
	running := slices.Sorted(maps.Keys(s.running))
	if len(running) == 0 {
		return
	}
	id := running[0]
	r := s.running[id]
	delete(s.running, id)
	answer := &fence.Answer{Value: "whole", Size: 5}
	if w.dice.Chance(w.faults.truncated) {
		answer = nil
	}
	w.apply(s, s.desk.Finish(w.turn(), id, health.Result{Took: time.Millisecond}, answer))
	w.post(func() {
		if r.told != pending || r.attempt != id {
			return
		}
		if answer == nil {
			w.step(r, retry.Failed)
			return
		}
		w.tell(r, answered)
	})
}

func (w *world) apply(s *sidecar, ops desk.Ops) {
	for _, g := range ops.Grants {
		r := s.waiting[g.Attempt]
		delete(s.waiting, g.Attempt)
		w.start(s, r, g.Attempt)
	}
	for _, f := range ops.Refusals {
		r := s.waiting[f.Attempt]
		delete(s.waiting, f.Attempt)
		w.refused(r, f.Attempt)
	}
}

// lose makes an ingress give up waiting and ask for the attempt's fate.
func (w *world) lose(r *request) {
	if r.told != pending || r.fencing {
		return
	}
	r.fencing = true
	id, s, instance, before := r.attempt, r.at, r.instance, r.before
	if w.dice.Chance(w.faults.noWay) {
		w.settle(r, id, 0)
		return
	}
	w.post(func() {
		if instance != s.instance {
			w.reply(r, id, 0)
			return
		}
		fate, answer, ops := s.desk.Fence(w.turn(), id, before)
		w.apply(s, ops)
		if fate == fence.Answered && answer == nil {
			fate = fence.Forgotten
		}
		w.reply(r, id, fate)
	})
}

func (w *world) reply(r *request, id ident.Attempt, fate fence.Fate) {
	w.post(func() { w.settle(r, id, fate) })
}

// settle ends an attempt by what the fence told; zero is no reply.
func (w *world) settle(r *request, id ident.Attempt, fate fence.Fate) {
	if r.told != pending || r.attempt != id {
		return
	}
	switch fate {
	case fence.NotStarted:
		w.step(r, retry.Unreached)
	case fence.Answered:
		w.tell(r, answered)
	case fence.Running:
		// The sidecar holds a fence until the attempt ends or its deadline has
		// passed; here the ingress asks again.
		if w.now.Before(r.plan.Deadline) {
			r.fencing = false
			return
		}
		w.step(r, retry.Lost)
	default:
		w.step(r, retry.Lost)
	}
}

func (w *world) deliver() {
	if len(w.net) == 0 {
		return
	}
	at := w.dice.Upto(len(w.net))
	message := w.net[at]
	w.net = append(w.net[:at], w.net[at+1:]...)
	message()
}

func (w *world) act() {
	s := w.sidecars[w.dice.Upto(len(w.sidecars))]
	switch w.dice.Upto(20) {
	case 0, 1, 2:
		w.submit()
	case 3, 4, 5, 6, 7, 8, 9, 10:
		w.deliver()
	case 11, 12, 13:
		w.finish(s)
	case 14, 15:
		if len(w.requests) > 0 {
			w.lose(w.requests[w.dice.Upto(len(w.requests))])
		}
	case 16:
		w.now = w.now.Add(time.Duration(w.dice.Upto(400)) * time.Millisecond)
		w.announce(s)
		w.apply(s, s.desk.Tick(w.turn()))
	case 17:
		if w.dice.Chance(w.faults.restart) {
			w.restart(s)
		}
	case 18:
		if w.dice.Chance(w.faults.pause) {
			// The sidecar was paused past every deadline.
			w.now = w.now.Add(time.Duration(w.dice.Upto(60)) * time.Second)
			s.desk.Expire(w.turn())
		}
	case 19:
		s.desk.Expire(w.turn())
	}
}

// run plays one case and counts its requests and those told as unknown.
func (w *world) run() (total, unknowns int) {
	for range w.dice.Between(50, 400) {
		w.act()
	}
	w.drain()
	for _, r := range w.requests {
		w.lose(r)
	}
	w.drain()
	for _, r := range w.requests {
		total++
		// A fence that has no reply leaves the outcome unknown too.
		if r.told == unknown || r.told == pending {
			unknowns++
		}
	}
	return total, unknowns
}

// drain delivers all messages and lets all runs end.
func (w *world) drain() {
	for busy := true; busy; {
		busy = len(w.net) > 0
		w.deliver()
		for _, s := range w.sidecars {
			busy = busy || len(s.running) > 0
			w.finish(s)
		}
	}
}

// TestAtMostOnce: nothing runs twice, nothing told as not run has run or ever
// will, and nothing is answered that did not run. Each fault comes alone and all
// together; how many requests end as unknown is logged for each.
func TestAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults faults
	}{
		{"late messages only", faults{}},
		{"messages lost", faults{loss: 10}},
		{"messages lost, no way for one fence in ten", faults{loss: 10, noWay: 10}},
		{"sidecars restarted", faults{restart: 20}},
		{"sidecars paused", faults{pause: 20}},
		{"answers cut short", faults{truncated: 20}},
		{"restarted and lost", faults{restart: 20, loss: 10}},
		{"paused and lost", faults{pause: 20, loss: 10}},
		{"all", allFaults},
	} {
		t.Run(c.name, func(t *testing.T) {
			total, unknowns := 0, 0
			check.Run(t, func(t *rapid.T) {
				requests, told := newWorld(t, c.faults).run()
				total += requests
				unknowns += told
			})
			t.Logf("%d of %d requests told unknown: %.1f%%", unknowns, total, 100*float64(unknowns)/float64(total))
			assert.Check(t, total > 1000)
		})
	}
}
