package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/policy/retry"
)

var now = time.Unix(1_000_000, 0)

// TestPlanOutcomeCoversAllAttempts: a request that may have run in any attempt
// must not be reported as not run, whatever the outcome of its last attempt.
func TestPlanOutcomeCoversAllAttempts(t *testing.T) {
	for _, c := range []struct {
		name       string
		repeatable bool
		outcomes   []retry.Outcome
		steps      []retry.Step
	}{
		{
			"refusals only", false,
			[]retry.Outcome{retry.Refused, retry.Unreached, retry.Refused},
			[]retry.Step{retry.TryAgain, retry.TryAgain, retry.GiveUpNotRun},
		},
		{"a non-repeatable request that failed", false, []retry.Outcome{retry.Failed}, []retry.Step{retry.GiveUpUnknown}},
		{
			"a non-repeatable request that is lost after a refusal", false,
			[]retry.Outcome{retry.Refused, retry.Lost},
			[]retry.Step{retry.TryAgain, retry.GiveUpUnknown},
		},
		{
			"a repeatable request that failed, then refusals", true,
			[]retry.Outcome{retry.Failed, retry.Refused, retry.Refused},
			[]retry.Step{retry.TryAgain, retry.TryAgain, retry.GiveUpUnknown},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			budget := &retry.Budget{}
			budget.Earn(now, 10)
			p := retry.Plan{Repeatable: c.repeatable, MaxAttempts: 3, Deadline: now.Add(time.Second), Budget: budget}
			for i, o := range c.outcomes {
				assert.Equal(t, p.Next(now, o), c.steps[i], "attempt %d", i+1)
			}
		})
	}
}

// TestBudgetBoundsRetries: with every attempt failing, the number of retries is
// what the requests earned, within the tokens that a Budget may accumulate.
func TestBudgetBoundsRetries(t *testing.T) {
	budget := &retry.Budget{}
	retries := 0
	const requests = 10_000
	for range requests {
		budget.Earn(now, 10)
		p := retry.Plan{Repeatable: true, MaxAttempts: 5, Deadline: now.Add(time.Second), Budget: budget}
		for p.Next(now, retry.Failed) == retry.TryAgain {
			retries++
		}
	}
	assert.Check(t, retries <= requests/10+20, "%d", retries)
	assert.Check(t, retries >= requests/10-20, "%d", retries)
}
