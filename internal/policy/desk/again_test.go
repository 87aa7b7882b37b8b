package desk_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/policy/desk"
	"github.com/figwick/figwick/internal/policy/health"
	"github.com/figwick/figwick/internal/policy/retry"
	"github.com/figwick/figwick/internal/state/config"
	"github.com/figwick/figwick/internal/state/roster"
)

// lone is a sidecar with one backend server that pays for second sends.
type lone struct {
	*desk.Desk
	t     turn.Turn
	tries int
}

func newLone(t *testing.T, slots int, saved float64) *lone {
	t.Helper()
	parsed, err := config.Parse([]byte(file))
	assert.NilError(t, err)
	parsed.Services[0].Slots = slots
	l := &lone{
		Desk: desk.New("node", 1),
		t:    turn.Turn{Now: time.Unix(1_000_000, 0), Random: rand.New(rand.NewPCG(1, 2))},
	}
	l.Believe(health.Baseline{Mean: math.Log(0.3), Spread: 0.6, FailureRate: 0.05, Weight: 1, UnhealthyFailureRate: 0.6})
	l.ShareBudget(true)
	l.SetShare("ledger", retry.Share{Saved: saved})
	l.Configure(l.t, config.Compile(1, parsed))
	_, err = l.Announce(l.t, roster.Announcement{
		ID: "a", Service: "ledger", Address: "10.0.0.1:80", Slots: 3, Incarnation: 1, State: roster.Serving,
	})
	assert.NilError(t, err)
	l.t.Now = l.t.Now.Add(8 * time.Second)
	return l
}

// send asks for a slot for a repeatable request.
func (l *lone) send(again bool) (ident.Attempt, desk.Decision) {
	l.tries++
	id := ident.Attempt(fmt.Sprint(l.tries))
	return id, l.Admit(l.t, desk.Attempt{
		ID: id, Service: "ledger", Repeatable: true, Again: again, Direct: true, Target: time.Second,
		StartBefore: l.t.Now.Add(time.Second), Deadline: l.t.Now.Add(time.Second),
	})
}

func (l *lone) finish(id ident.Attempt, o health.Outcome) {
	l.t.Now = l.t.Now.Add(10 * time.Millisecond)
	l.Finish(l.t, id, health.Result{Outcome: o, Took: 10 * time.Millisecond}, nil)
}

func TestSecondSendsDrawOnTheBudget(t *testing.T) {
	l := newLone(t, 3, 2)
	for range 2 {
		id, decision := l.send(true)
		assert.Equal(t, decision.Kind, desk.Granted)
		l.finish(id, health.OK)
	}
	_, decision := l.send(true)
	assert.Equal(t, decision.Kind, desk.Refused)
	assert.Equal(t, decision.Reason, desk.Spent)
	_, decision = l.send(false)
	assert.Equal(t, decision.Kind, desk.Granted, "a first send costs nothing")
}

func TestRefusedSecondSendCostsNothing(t *testing.T) {
	l := newLone(t, 1, 1)
	held, decision := l.send(false)
	assert.Equal(t, decision.Kind, desk.Granted, "the server's one slot")
	for range 5 {
		_, decision := l.send(true)
		assert.Equal(t, decision.Reason, desk.Busy)
	}
	l.finish(held, health.OK)
	_, decision = l.send(true)
	assert.Equal(t, decision.Kind, desk.Granted)
}

func TestSecondSendsKeepOffTrials(t *testing.T) {
	l := newLone(t, 3, 10)
	for range 4 {
		if id, decision := l.send(false); decision.Kind == desk.Granted {
			l.finish(id, health.Failed)
		}
	}
	l.t.Now = l.t.Now.Add(100 * time.Millisecond)
	l.Tick(l.t)
	_, decision := l.send(true)
	assert.Equal(t, decision.Reason, desk.Resting)
	_, decision = l.send(false)
	assert.Equal(t, decision.Kind, desk.Granted, "a first send is what a trial is made by")
}

// TestServerThatIsWellAgainReturnsSoon: a gray server fails at once, one that is
// well takes its time for an answer. Two answers are asked for; they need not come
// one after the other.
func TestServerThatIsWellAgainReturnsSoon(t *testing.T) {
	const service = 400 * time.Millisecond
	l := newLone(t, 3, 10)
	for range 2 {
		if id, decision := l.send(false); decision.Kind == desk.Granted {
			l.finish(id, health.Failed)
		}
	}
	l.Tick(l.t)
	begin := l.t.Now
	ends := map[ident.Attempt]time.Time{}
	returned := false
	for !returned && l.t.Now.Sub(begin) < 5*time.Second {
		l.t.Now = l.t.Now.Add(10 * time.Millisecond)
		ops := l.Tick(l.t)
		for id, end := range ends {
			if !l.t.Now.Before(end) {
				delete(ends, id)
				ops.Verdicts = append(ops.Verdicts, l.Finish(l.t, id, health.Result{Took: service}, nil).Verdicts...)
			}
		}
		for _, v := range ops.Verdicts {
			returned = returned || v.Op.Action == health.Return
		}
		if id, decision := l.send(false); decision.Kind == desk.Granted {
			ends[id] = l.t.Now.Add(service)
		}
	}
	took := l.t.Now.Sub(begin)
	assert.Check(t, returned)
	assert.Check(t, took <= service+service/2, "back after %v", took)
}

// TestJustFailedServerIsNotAskedForOrders: half of the servers that fail once are
// gray. For a moment what must not fail again goes elsewhere, unless it would wait
// here anyway.
func TestJustFailedServerIsNotAskedForOrders(t *testing.T) {
	l := newLone(t, 3, 10)
	order := func(direct bool) desk.Decision {
		l.tries++
		id := ident.Attempt(fmt.Sprint(l.tries))
		decision := l.Admit(l.t, desk.Attempt{
			ID: id, Service: "ledger", Direct: direct, Target: time.Second,
			StartBefore: l.t.Now.Add(time.Second), Deadline: l.t.Now.Add(time.Second),
		})
		if decision.Kind == desk.Granted {
			l.finish(id, health.OK)
		}
		return decision
	}
	id, _ := l.send(false)
	l.finish(id, health.Failed)
	assert.Equal(t, order(true).Kind, desk.Refused)
	_, again := l.send(true)
	assert.Equal(t, again.Kind, desk.Refused)
	assert.Equal(t, order(false).Kind, desk.Granted, "an order that would wait takes the chance")
	assert.Equal(t, order(true).Kind, desk.Granted, "a good answer ends the doubt")
	id, _ = l.send(false)
	l.finish(id, health.Failed)
	l.t.Now = l.t.Now.Add(time.Second)
	l.Tick(l.t)
	assert.Equal(t, order(true).Kind, desk.Granted, "and so does time")
}
