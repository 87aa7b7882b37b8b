package quota_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/figwick/figwick/internal/fake/check"
	"github.com/figwick/figwick/internal/policy/quota"
)

const (
	// window, windowFactor and windowBase are the platform's bound: in any window, a
	// server gets at most the factor times what its limit allows, plus the base.
	window       = 4 * time.Second
	windowFactor = 1.5
	windowBase   = 5.0
)

var start = time.Unix(1_000_000, 0)

func TestQuotaWithoutLimit(t *testing.T) {
	var q quota.Quota
	assert.Equal(t, q.Available(start), math.MaxInt)
	assert.Equal(t, q.Wait(start, 1000), time.Duration(0))
	q.Take(start)
	q.Name(start, 2)
	assert.Equal(t, q.Available(start), 0)
	assert.Equal(t, q.Wait(start, 1), 500*time.Millisecond)
	assert.Equal(t, q.Wait(start, 3), 1500*time.Millisecond)
	q.Lift()
	assert.Equal(t, q.Available(start), math.MaxInt)
}

// TestQuotaNeverStops guards against a server that named a limit of zero and is never asked
// again: only a response can show that it takes requests again.
func TestQuotaNeverStops(t *testing.T) {
	var q quota.Quota
	q.Name(start, 0)
	assert.Equal(t, q.Available(start.Add(window-time.Millisecond)), 0)
	assert.Equal(t, q.Available(start.Add(window)), 1)
	assert.Equal(t, q.Available(start.Add(time.Hour)), 1)
}

// TestServerGetsItsLimit plays a server whose limit changes and which always has requests
// waiting. In every window it gets no more than the bound, and over a constant limit no
// less than that limit.
func TestServerGetsItsLimit(t *testing.T) {
	const step, length = 50 * time.Millisecond, 30 * time.Second
	check.Run(t, func(t *rapid.T) {
		limits := rapid.SliceOfN(rapid.SampledFrom([]float64{0, 0.2, 0.5, 1, 3, 12, 100}), 1, 4).Draw(t, "limits")
		every := rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 10 * time.Second}).Draw(t, "every")
		idle := rapid.SampledFrom([]time.Duration{0, 5 * time.Second}).Draw(t, "idle")
		var q quota.Quota
		// taken and allowed hold, for each step, the requests and what the limit allows.
		var taken []int
		var allowed []float64
		limit, all := 0.0, 0
		for at := time.Duration(0); at < length; at += step {
			now := start.Add(at)
			if at%every == 0 {
				limit = limits[int(at/every)%len(limits)]
				q.Name(now, limit)
			}
			n := 0
			for at >= idle && q.Available(now) > 0 {
				q.Take(now)
				n++
			}
			all += n
			taken, allowed = append(taken, n), append(allowed, limit*step.Seconds())
			got, most := 0, windowBase
			for i := max(0, len(taken)-int(window/step)); i < len(taken); i++ {
				got += taken[i]
				most += windowFactor * allowed[i]
			}
			if at >= window {
				assert.Assert(t, float64(got) <= most, "%d requests in %s, at most %g", got, window, most)
			}
		}
		if len(limits) == 1 {
			least := math.Floor(limit * (length - idle - step).Seconds())
			assert.Assert(t, float64(all) >= least, "%d requests, the limit allows %g", all, least)
		}
	})
}
