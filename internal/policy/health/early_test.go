package health_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/health"
)

// TestRefusedAttemptsBringTrialForward checks that refused attempts shorten a long ejection
// hold. While other servers have free slots an unhealthy server stays out for long, since
// its trials cost requests. In overload its slots are needed and the trial starts early.
func TestRefusedAttemptsBringTrialForward(t *testing.T) {
	const hold, longest = 600 * time.Millisecond, 1500 * time.Millisecond
	for _, c := range []struct {
		name       string
		turnedAway int
		want       time.Duration
	}{
		{"quiet", 1, longest},
		{"overload", 10, hold},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := health.New(health.Config{
				Threshold: 4.9, Hold: hold, MaxHold: longest, EarlyTrialRefusals: 3, ImmediateTrial: true,
				Prior: health.Baseline{Mean: math.Log(0.3), Spread: 0.6, FailureRate: 0.05, Weight: 1, UnhealthyFailureRate: 0.6},
			})
			now := eval.Context{Now: time.Unix(100, 0), Random: eval.NewRandom(1)}
			k.Add(now, "a")
			failed := func() {
				id := ident.Attempt(now.Now.String())
				k.Begin(now, "a", id, time.Second)
				now.Now = now.Now.Add(time.Millisecond)
				k.Finish(now, "a", id, health.Result{Outcome: health.Failed, Took: time.Millisecond})
			}
			// Two failures, an immediate trial and another one after the first hold.
			for range 2 {
				failed()
			}
			for range 2 {
				for state, _ := k.State("a"); state != health.OnTrial; state, _ = k.State("a") {
					now.Now = now.Now.Add(10 * time.Millisecond)
					k.Tick(now)
				}
				failed()
			}
			begin := now.Now
			for range c.turnedAway {
				k.CountRefusal()
			}
			for state, _ := k.State("a"); state != health.OnTrial; state, _ = k.State("a") {
				now.Now = now.Now.Add(10 * time.Millisecond)
				k.Tick(now)
			}
			assert.Equal(t, now.Now.Sub(begin), c.want)
		})
	}
}
