package health_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/fake/check"
	"github.com/figwick/figwick/internal/policy/health"
)

const (
	serviceTime           = 20 * time.Millisecond
	spread                = 0.5
	deadline              = 2 * time.Second
	slots                 = 3
	backgroundFailureRate = 0.001
	warmUp                = 8 * time.Second
	tickEvery             = 50 * time.Millisecond
)

// detector is an ejection policy: figwick's Tracker or one that it is compared with.
type detector interface {
	begin(now time.Time, server, id int)
	finish(now time.Time, server, id int, r health.Result) []int
	tick(now time.Time) []int
	reset(now time.Time, server int)
}

// tracker adapts figwick's Tracker.
type tracker struct {
	*health.Tracker
	random *rand.Rand
}

func newTracker(threshold float64, servers int, random *rand.Rand) *tracker {
	k := &tracker{health.New(health.Config{Threshold: threshold, Hold: time.Second, MaxHold: time.Second}), random}
	for i := range servers {
		k.Add(eval.Context{}, name(i))
	}
	return k
}

func name(i int) ident.Backend    { return ident.Backend(strconv.Itoa(i)) }
func attempt(i int) ident.Attempt { return ident.Attempt(strconv.Itoa(i)) }

func (k *tracker) at(now time.Time) eval.Context { return eval.Context{Now: now, Random: k.random} }

func (k *tracker) begin(now time.Time, server, id int) {
	k.Begin(k.at(now), name(server), attempt(id), 0)
}

func (k *tracker) finish(now time.Time, server, id int, r health.Result) []int {
	return ejected(k.Finish(k.at(now), name(server), attempt(id), r))
}

func (k *tracker) tick(now time.Time) []int { return ejected(k.Tick(k.at(now))) }

// reset discards what is known of a server.
func (k *tracker) reset(now time.Time, server int) {
	k.Remove(name(server))
	k.Add(k.at(now), name(server))
}

func ejected(ops []health.Op) []int {
	var list []int
	for _, op := range ops {
		if op.Action == health.Eject {
			i, _ := strconv.Atoi(string(op.Server))
			list = append(list, i)
		}
	}
	return list
}

// consecutive ejects a server after n failures in a row.
type consecutive struct {
	n      int
	counts map[int]int
}

func (c *consecutive) begin(time.Time, int, int) {}
func (c *consecutive) finish(_ time.Time, server, _ int, r health.Result) []int {
	if r.Outcome == health.OK {
		c.counts[server] = 0
		return nil
	}
	c.counts[server]++
	if c.counts[server] < c.n {
		return nil
	}
	return []int{server}
}
func (c *consecutive) tick(time.Time) []int          { return nil }
func (c *consecutive) reset(_ time.Time, server int) { c.counts[server] = 0 }

// window ejects a server if half of at least ten requests within ten seconds failed.
type window struct {
	total, failed map[int]int
	until         time.Time
}

func (w *window) begin(time.Time, int, int) {}
func (w *window) finish(now time.Time, server, _ int, r health.Result) []int {
	const length, minRequests, share = 10 * time.Second, 10, 0.5
	if now.After(w.until) {
		w.until = now.Add(length)
		clear(w.total)
		clear(w.failed)
	}
	w.total[server]++
	if r.Outcome != health.OK {
		w.failed[server]++
	}
	if w.total[server] >= minRequests && float64(w.failed[server]) >= share*float64(w.total[server]) {
		return []int{server}
	}
	return nil
}
func (w *window) tick(time.Time) []int { return nil }
func (w *window) reset(_ time.Time, server int) {
	w.total[server], w.failed[server] = 0, 0
}

// outlier ejects a server whose mean latency exceeds three times the median of all servers.
type outlier struct{ mean []float64 }

func (o *outlier) begin(time.Time, int, int) {}
func (o *outlier) finish(_ time.Time, server, _ int, r health.Result) []int {
	const weight, factor = 0.05, 3
	x := r.Took.Seconds()
	if o.mean[server] == 0 {
		o.mean[server] = x
	}
	o.mean[server] += weight * (x - o.mean[server])
	all := slices.Clone(o.mean)
	slices.Sort(all)
	if all[0] > 0 && o.mean[server] > factor*all[len(all)/2] {
		return []int{server}
	}
	return nil
}
func (o *outlier) tick(time.Time) []int          { return nil }
func (o *outlier) reset(_ time.Time, server int) { o.mean[server] = 0 }

// fault is the fault injected into server 0, or into all servers, and the load.
type fault struct {
	name        string
	failureRate float64
	slowdown    float64
	hanging     bool
	all         bool
	flapPeriod  time.Duration
	load        float64
	healthy     bool
}

type event struct {
	kind   int
	server int
	id     int
	result health.Result
}

const (
	arrive = iota
	finish
	tick
)

// simulation runs one case with generated arrivals, latencies and failures.
type simulation struct {
	injected fault
	servers  int
	random   *rand.Rand
	detector detector
	now      time.Time
	onset    time.Time
	queue    check.TimeQueue[event]
	busy     []int
	waiting  int
	next     int
}

// run returns the time from the onset of the fault to the ejection of server 0, or -1,
// and the number of wrong ejections: of other servers, of any server if none is faulty or
// all are, and of server 0 before the onset.
func (r *simulation) run(warmUp, length time.Duration) (detected time.Duration, wrong int) {
	r.now = time.Unix(1_000_000, 0)
	r.onset = r.now.Add(warmUp)
	end := r.onset.Add(length)
	r.busy = make([]int, r.servers)
	r.queue.Push(r.now, event{kind: arrive})
	r.queue.Push(r.now, event{kind: tick})
	for r.now.Before(end) {
		var e event
		r.now, e = r.queue.Pop()
		for _, s := range r.step(e) {
			r.detector.reset(r.now, s)
			if s == 0 && !r.injected.healthy && !r.injected.all && r.now.After(r.onset) {
				return r.now.Sub(r.onset), wrong
			}
			wrong++
		}
	}
	return -1, wrong
}

func (r *simulation) step(e event) []int {
	switch e.kind {
	case arrive:
		rate := r.injected.load * float64(r.servers*slots) / (serviceTime.Seconds() * math.Exp(spread*spread/2))
		r.queue.Push(r.now.Add(time.Duration(r.random.ExpFloat64()/rate*1e9)), event{kind: arrive})
		if r.waiting < 4*r.servers {
			r.waiting++
		}
		r.dispatch()
		return nil
	case finish:
		r.busy[e.server]--
		r.dispatch()
		return r.detector.finish(r.now, e.server, e.id, e.result)
	default:
		r.queue.Push(r.now.Add(tickEvery), event{kind: tick})
		return r.detector.tick(r.now)
	}
}

// dispatch assigns waiting requests to the least busy server with a free slot.
func (r *simulation) dispatch() {
	for r.waiting > 0 {
		order := r.random.Perm(r.servers)
		best := slices.MinFunc(order, func(a, b int) int { return cmp.Compare(r.busy[a], r.busy[b]) })
		if r.busy[best] >= slots {
			return
		}
		r.waiting--
		r.busy[best]++
		r.next++
		r.detector.begin(r.now, best, r.next)
		took, outcome := r.sample(best)
		r.queue.Push(r.now.Add(took), event{
			kind: finish, server: best, id: r.next, result: health.Result{Outcome: outcome, Took: took},
		})
	}
}

func (r *simulation) sample(server int) (time.Duration, health.Outcome) {
	took := time.Duration(float64(serviceTime) * math.Exp(spread*r.random.NormFloat64()))
	outcome := health.OK
	if r.random.Float64() < backgroundFailureRate {
		outcome = health.Failed
	}
	if !r.faulty(server) {
		return took, outcome
	}
	if r.injected.hanging {
		return deadline, health.TimedOut
	}
	took = time.Duration(float64(took) * max(1, r.injected.slowdown))
	if r.random.Float64() < r.injected.failureRate {
		outcome = health.Failed
	}
	if took > deadline {
		return deadline, health.TimedOut
	}
	return took, outcome
}

func (r *simulation) faulty(server int) bool {
	if r.now.Before(r.onset) || r.injected.healthy || server != 0 && !r.injected.all {
		return false
	}
	return r.injected.flapPeriod == 0 || r.now.Sub(r.onset)/r.injected.flapPeriod%2 == 0
}

var detectors = []struct {
	name string
	make func(servers int, random *rand.Rand) detector
}{
	{"figwick, detection", func(n int, r *rand.Rand) detector { return newTracker(health.DetectionThreshold, n, r) }},
	{"figwick, precision", func(n int, r *rand.Rand) detector { return newTracker(health.PrecisionThreshold, n, r) }},
	{"5 consecutive failures", func(int, *rand.Rand) detector { return &consecutive{5, map[int]int{}} }},
	{"error rate in a window", func(int, *rand.Rand) detector { return &window{total: map[int]int{}, failed: map[int]int{}} }},
	{"latency outlier", func(n int, _ *rand.Rand) detector { return &outlier{make([]float64, n)} }},
}

var faultCases = []fault{
	{name: "failing half", failureRate: 0.5},
	{name: "failing all", failureRate: 1},
	{name: "2x slower", slowdown: 2},
	{name: "5x slower", slowdown: 5},
	{name: "20x slower", slowdown: 20},
	{name: "hanging", hanging: true},
	{name: "flapping every 1 s, failing half", failureRate: 0.5, flapPeriod: time.Second},
	{name: "flapping every 5 s, failing half", failureRate: 0.5, flapPeriod: 5 * time.Second},
}

var healthyCases = []fault{
	{name: "healthy", healthy: true, load: 0.5},
	{name: "overload", healthy: true, load: 1.5},
	{name: "quiet", healthy: true, load: 0.002},
	{name: "whole service 5x slower", slowdown: 5, all: true, load: 0.5},
	{name: "whole service failing half", failureRate: 0.5, all: true, load: 0.5},
}

func runSeeds(c fault, servers, policy int, seeds int) (times []time.Duration, wrong int) {
	for seed := range seeds {
		random := eval.NewRandom(uint64(seed) + 1)
		r := &simulation{injected: c, servers: servers, random: random, detector: detectors[policy].make(servers, random)}
		d, w := r.run(warmUp, time.Minute)
		if d < 0 {
			d = time.Hour
		}
		times = append(times, d)
		wrong += w
	}
	slices.Sort(times)
	return times, wrong
}

// TestDetection checks detection times at normal load. With the preference for detection, a
// server that fails every request or hangs is ejected within a second at the median, and one
// that fails half or is 5x slower within two seconds. With the preference for precision it
// may take twice as long.
func TestDetection(t *testing.T) {
	for _, c := range []struct {
		injected fault
		bound    time.Duration
	}{
		{fault{name: "failing all", failureRate: 1, load: 0.5}, time.Second},
		{fault{name: "failing half", failureRate: 0.5, load: 0.5}, 2 * time.Second},
		{fault{name: "hanging", hanging: true, load: 0.5}, time.Second},
		{fault{name: "5x slower", slowdown: 5, load: 0.5}, 2 * time.Second},
	} {
		for policy, factor := range []time.Duration{1, 2} {
			times, wrong := runSeeds(c.injected, 15, policy, 3)
			assert.Check(t, times[1] <= factor*c.bound, "%s, %s: %v", detectors[policy].name, c.injected.name, times)
			assert.Check(t, wrong <= 1-policy, "%s, %s: %d wrong ejections", detectors[policy].name, c.injected.name, wrong)
		}
	}
}

// TestNoFalseEjection checks that with the preference for precision no server is ejected
// from a service that is healthy, overloaded, or slow or failing as a whole.
func TestNoFalseEjection(t *testing.T) {
	for _, servers := range []int{9, 15} {
		for _, c := range healthyCases {
			random := eval.NewRandom(7)
			r := &simulation{injected: c, servers: servers, random: random, detector: detectors[1].make(servers, random)}
			_, wrong := r.run(warmUp, 20*time.Second)
			assert.Check(t, wrong == 0, "%s with %d servers: %d", c.name, servers, wrong)
		}
	}
}

// TestDetectionTable prints the table of docs/BENCHMARKS.md. FIGWICK_TABLE is the length in
// minutes of each run without a faulty server.
func TestDetectionTable(t *testing.T) {
	minutes, err := strconv.Atoi(os.Getenv("FIGWICK_TABLE"))
	if err != nil {
		t.Skip("set FIGWICK_TABLE")
	}
	for _, load := range []float64{0.05, 0.5, 0.95} {
		for _, c := range faultCases {
			c.load = load
			for policy := range detectors {
				times, _ := runSeeds(c, 15, policy, 20)
				fmt.Printf("| %.0f%% | %s | %s | %s | %s |\n", 100*load, c.name, detectors[policy].name,
					formatTime(times[len(times)/2]), formatTime(times[len(times)-1]))
			}
		}
	}
	for _, c := range healthyCases {
		for policy := range detectors {
			random := eval.NewRandom(99)
			r := &simulation{injected: c, servers: 15, random: random, detector: detectors[policy].make(15, random)}
			length := time.Duration(minutes) * time.Minute
			_, wrong := r.run(warmUp, length)
			days := 15 * length.Hours() / 24
			fmt.Printf("| %s | %s | %d | %.1f |\n", c.name, detectors[policy].name, wrong, float64(wrong)/days)
		}
	}
}

func formatTime(d time.Duration) string {
	if d >= time.Hour {
		return "not within 60 s"
	}
	return d.Round(10 * time.Millisecond).String()
}
