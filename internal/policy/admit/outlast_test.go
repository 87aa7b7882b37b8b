package admit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/admit"
)

// TestStopRefusesAttemptsThatWouldBeCut guards against attempts that wait or start so late in the
// graceful stop of a sidecar that they are cut off. Their ingresses can turn to other sidecars.
func TestStopRefusesAttemptsThatWouldBeCut(t *testing.T) {
	const target = time.Second
	l := newSingleServer(t, 1, 0)
	attempt := func(id string) admit.Attempt {
		deadline := l.t.Now.Add(10 * time.Second)
		return admit.Attempt{
			ID: ident.Attempt(id), Service: "ledger", Repeatable: true, Target: target, StartBefore: deadline, Deadline: deadline,
		}
	}
	assert.Equal(t, l.Admit(l.t, attempt("running")).Kind, admit.Granted)
	assert.Equal(t, l.Admit(l.t, attempt("waiting")).Kind, admit.Waiting)
	l.StopBy(l.t.Now.Add(target + target/2))
	assert.Equal(t, len(l.Tick(l.t).Refusals), 0)
	l.t.Now = l.t.Now.Add(target/2 + time.Millisecond)
	assert.DeepEqual(t, l.Tick(l.t).Refusals, []admit.Refusal{{Attempt: "waiting", Reason: admit.Leaving}})
	late := l.Admit(l.t, attempt("late"))
	assert.Equal(t, late.Kind, admit.Refused)
	assert.Equal(t, late.Reason, admit.Leaving)
	assert.Equal(t, l.ActiveAttempts(), 1, "the running attempt goes on")
}
