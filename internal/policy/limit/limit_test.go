package limit_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/limit"
)

const (
	rate  = 100.0
	burst = 20.0
	tick  = 10 * time.Millisecond
)

// fleet is a set of ingresses that share one caller's rate, and the allocators
// that divide it. Requests arrive at load[i] per second at ingress i. Its shares
// come from allocators[allocatorOf[i]], or from none if that is negative.
type fleet struct {
	now         time.Time
	locals      []*limit.Limiter
	allocators  []*limit.Allocator
	allocatorOf []int
	load        []float64
	pending     []float64
	allowed     int
}

var key = limit.Key{Service: "shop", Caller: "chandler"}

func newFleet(loads ...float64) *fleet {
	f := &fleet{now: time.Unix(1_000_000, 0), load: loads, pending: make([]float64, len(loads)), allocatorOf: make([]int, len(loads))}
	for range loads {
		f.locals = append(f.locals, &limit.Limiter{Nodes: len(loads)})
	}
	f.allocators = []*limit.Allocator{{}}
	return f
}

// run advances time by length and returns the requests admitted per second.
// Requests arrive evenly, and each ingress requests shares once a second.
func (f *fleet) run(length time.Duration) float64 {
	f.allowed = 0
	for step := range int(length / tick) {
		f.now = f.now.Add(tick)
		for i, l := range f.locals {
			f.pending[i] += f.load[i] * tick.Seconds()
			for ; f.pending[i] >= 1; f.pending[i]-- {
				if ok, _ := l.Allow(f.now, key, limit.Rate{PerSecond: rate, Burst: burst}); ok {
					f.allowed++
				}
			}
			if step%100 == i%100 && f.allocatorOf[i] >= 0 {
				f.requestShares(i, l)
			}
		}
	}
	return float64(f.allowed) / length.Seconds()
}

func (f *fleet) requestShares(i int, l *limit.Limiter) {
	for _, d := range l.Demands(f.now) {
		share := f.allocators[f.allocatorOf[i]].Assign(f.now, ident.Node(fmt.Sprint(i)), d)
		l.SetShare(f.now, share)
	}
}

// TestLimitHolds checks that the admitted requests never exceed the rate by more
// than BaseFraction, and reach at least 85% of it if there is enough demand.
func TestLimitHolds(t *testing.T) {
	const maxRate = rate * (1 + limit.BaseFraction)
	for _, c := range []struct {
		name  string
		loads []float64
	}{
		{"even", []float64{100, 100, 100, 100}},
		{"all at one node", []float64{400, 0, 0, 0}},
		{"skewed", []float64{300, 30, 10, 0}},
		{"many nodes", []float64{50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(c.loads...)
			f.run(20 * time.Second)
			got := f.run(60 * time.Second)
			t.Logf("%.1f of %.0f a second", got, rate)
			assert.Check(t, got <= maxRate+burst/60, "%.1f", got)
			assert.Check(t, got >= 0.85*rate, "%.1f", got)
		})
	}
	t.Run("shares follow the demand", func(t *testing.T) {
		f := newFleet(400, 0, 0)
		f.run(20 * time.Second)
		f.load = []float64{0, 0, 400}
		f.run(15 * time.Second)
		got := f.run(30 * time.Second)
		t.Logf("%.1f of %.0f a second", got, rate)
		assert.Check(t, got <= maxRate+1 && got >= 0.85*rate, "%.1f", got)
	})
	t.Run("below the limit no request is refused", func(t *testing.T) {
		f := newFleet(30, 20, 10)
		f.run(20 * time.Second)
		got := f.run(60 * time.Second)
		assert.Check(t, got >= 0.99*60, "%.1f", got)
	})
	t.Run("a new allocator grants nothing until the old shares have expired", func(t *testing.T) {
		f := newFleet(100, 100, 100)
		f.run(20 * time.Second)
		f.allocators = append(f.allocators, &limit.Allocator{Since: f.now})
		f.allocatorOf = []int{1, 1, 1}
		got := f.run(limit.Lease)
		assert.Check(t, got <= maxRate+burst/limit.Lease.Seconds(), "%.1f", got)
	})
	t.Run("both sides of a partition keep to their part", func(t *testing.T) {
		f := newFleet(200, 200, 200, 200)
		f.run(20 * time.Second)
		f.allocators = []*limit.Allocator{{VisibleFraction: 0.5}, {VisibleFraction: 0.5, Since: f.now}}
		f.allocatorOf = []int{0, 0, 1, 1}
		f.run(20 * time.Second)
		got := f.run(60 * time.Second)
		t.Logf("%.1f of %.0f a second", got, rate)
		assert.Check(t, got <= maxRate+1, "%.1f", got)
		assert.Check(t, got >= 0.85*rate, "%.1f", got)
	})
	t.Run("a new caller is not refused below its limit", func(t *testing.T) {
		f := newFleet(6, 6, 6)
		got := f.run(time.Second)
		assert.Check(t, got >= 15, "%.1f", got)
	})
	t.Run("without an allocator only the base rate passes", func(t *testing.T) {
		f := newFleet(200, 200)
		f.allocatorOf = []int{-1, -1}
		got := f.run(60 * time.Second)
		assert.Check(t, got <= rate*limit.BaseFraction+1, "%.1f", got)
	})
}
