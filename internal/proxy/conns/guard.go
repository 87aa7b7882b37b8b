package conns

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/policy/intake"
)

// reportInterval is the least time between two events of a Guard, whose number does not depend on
// how many connections it closes.
const reportInterval = time.Second

type (
	// GuardConfig configures a Guard.
	GuardConfig struct {
		Limits intake.Limits
		Clock  clockwork.Clock
		Log    hclog.Logger
		// Bytes and Connections report what is held, Refused and Closed count what was refused and
		// what was closed or ended.
		Bytes, Connections tally.Gauge
		Refused, Closed    tally.Counter
	}

	// Guard holds the connections and requests of a process to an intake.Budget. It is safe for
	// concurrent use. A nil Guard sets no bound.
	Guard struct {
		config GuardConfig
		mutex  sync.Mutex
		budget *intake.Budget
		evict  map[intake.Holder]func()
		// refused and closed count since the last event.
		refused, closed int
		reported        time.Time
	}

	// Report is the state of a Guard in a dump.
	Report struct {
		Bytes       int64 `json:"bytes"`
		Connections int   `json:"connections"`
		// MaxBytes and MaxConnections are the limits, zero for none.
		MaxBytes       int64 `json:"max-bytes"`
		MaxConnections int   `json:"max-connections"`
	}

	// Account is one holder of a Guard. The methods of a nil Account have no effect and refuse
	// nothing.
	Account struct {
		guard *Guard
		id    intake.Holder
	}
)

// NewGuard returns a Guard, or nil if there are no limits.
func NewGuard(c GuardConfig) *Guard {
	if c.Limits == (intake.Limits{}) {
		return nil
	}
	return &Guard{config: c, budget: intake.New(c.Limits), evict: map[intake.Holder]func(){}}
}

// Open opens an account, or reports false if there is no room. evict is called in a goroutine of
// its own when the holder is to end; the account is closed by then.
func (g *Guard) Open(kind intake.Kind, bytes int64, evict func()) (*Account, bool) {
	if g == nil {
		return nil, true
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	id, opened, evicted := g.budget.Open(g.config.Clock.Now(), kind, bytes)
	g.end(evicted)
	if !opened {
		g.noteRefused()
		return nil, false
	}
	g.evict[id] = evict
	g.report()
	return &Account{guard: g, id: id}, true
}

// Reserve charges bytes that may be refused.
func (a *Account) Reserve(bytes int64) bool {
	if a == nil {
		return true
	}
	a.guard.mutex.Lock()
	defer a.guard.mutex.Unlock()
	reserved, evicted := a.guard.budget.Reserve(a.guard.config.Clock.Now(), a.id, bytes)
	a.guard.end(evicted)
	if !reserved {
		a.guard.noteRefused()
	}
	return reserved
}

// Charge charges bytes that are held already. A negative number gives them back.
func (a *Account) Charge(bytes int64) {
	if a == nil {
		return
	}
	a.guard.mutex.Lock()
	defer a.guard.mutex.Unlock()
	a.guard.end(a.guard.budget.Charge(a.guard.config.Clock.Now(), a.id, bytes))
}

// Wait notes that the holder waits for its caller from now on.
func (a *Account) Wait() {
	if a == nil {
		return
	}
	a.guard.mutex.Lock()
	defer a.guard.mutex.Unlock()
	a.guard.budget.Wait(a.guard.config.Clock.Now(), a.id)
}

// Proceed notes that the holder does not wait for its caller.
func (a *Account) Proceed() {
	if a == nil {
		return
	}
	a.guard.mutex.Lock()
	defer a.guard.mutex.Unlock()
	a.guard.budget.Proceed(a.id)
}

// Close closes the account. It may be called several times.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.guard.mutex.Lock()
	defer a.guard.mutex.Unlock()
	a.guard.budget.Close(a.id)
	delete(a.guard.evict, a.id)
	a.guard.report()
}

// Dump returns the state of the Guard.
func (g *Guard) Dump() Report {
	if g == nil {
		return Report{}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return Report{
		Bytes: g.budget.Bytes(), Connections: g.budget.Connections(),
		MaxBytes: g.config.Limits.Bytes, MaxConnections: g.config.Limits.Connections,
	}
}

// end ends holders that were evicted. The mutex must be held.
func (g *Guard) end(evicted []intake.Holder) {
	for _, id := range evicted {
		go g.evict[id]()
		delete(g.evict, id)
		g.closed++
		g.config.Closed.Inc(1)
	}
	if len(evicted) > 0 {
		g.logPressure()
	}
	g.report()
}

// noteRefused counts a refusal. The mutex must be held.
func (g *Guard) noteRefused() {
	g.refused++
	g.config.Refused.Inc(1)
	g.logPressure()
}

// logPressure emits an event with the counts since the last one. The mutex must be held.
func (g *Guard) logPressure() {
	now := g.config.Clock.Now()
	if now.Sub(g.reported) < reportInterval {
		return
	}
	events.Emit(g.config.Log, events.IntakeFull, "bytes", g.budget.Bytes(), "connections", g.budget.Connections(),
		"refused", g.refused, "closed", g.closed)
	g.reported, g.refused, g.closed = now, 0, 0
}

// report updates the gauges. The mutex must be held.
func (g *Guard) report() {
	g.config.Bytes.Update(float64(g.budget.Bytes()))
	g.config.Connections.Update(float64(g.budget.Connections()))
}

// noteSocket logs a socket whose send buffer could not be bounded.
func (g *Guard) noteSocket(err error) {
	if err != nil {
		g.config.Log.Debug("bounding the send buffer failed", "error", err)
	}
}
