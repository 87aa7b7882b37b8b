package floor_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/fake/check"
	"github.com/figwick/figwick/internal/policy/floor"
	"github.com/figwick/figwick/internal/state/store"
)

// restorePercent is how likely the store is restored before a step.
const restorePercent = 2

// storeCopy is the Ledger and its version at an earlier time.
type storeCopy struct {
	ledger  floor.Ledger
	version int
}

// restoreUnnoticed lets the store come back from one of its latest copies. No node is told.
func (w *simulation) restoreUnnoticed() {
	if len(w.copies) == 0 {
		return
	}
	w.restoresLeft--
	at := len(w.copies) - 1 - w.choices.IntN(min(len(w.copies), 5))
	saved := w.copies[at]
	w.copies = w.copies[:at]
	w.ledger, w.version = saved.ledger, saved.version
	w.era++
	w.logf("the store is restored to version %d, %+v", w.version, w.ledger)
}

// TestFloorHoldsAfterUnnoticedRestore guards against nodes that together eject below the floor after
// the store has come back from an older copy: it has lost tokens that are still valid, and grants
// them again. Nodes learn of that by reading the Ledger only.
func TestFloorHoldsAfterUnnoticedRestore(t *testing.T) {
	ejections := 0
	check.Run(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.restoresLeft = 5
		for range w.choices.Between(50, 3000) {
			w.step()
		}
		ejections += w.ejections
	})
	assert.Check(t, ejections > 100, "only %d ejections", ejections)
}

// TestRestoredLedgerGrantsNoTokenTwice guards against a token that is granted again because the
// store has come back from a copy that lacks its first grant. It is granted again once the first
// grant has ended.
func TestRestoredLedgerGrantsNoTokenTwice(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	ledger := floor.Ledger{Era: 1}
	first, second := &floor.Holder{Node: "a", Instance: 1}, &floor.Holder{Node: "b", Instance: 1}
	first.SetBackends([]ident.Backend{"a1", "a2"})
	second.SetBackends([]ident.Backend{"b1", "b2"})
	least := 4
	write := func(h *floor.Holder, era store.Era) {
		ledger.NoteEra(era)
		h.PrepareWrite(now, least, nil, &ledger)
		h.WriteDone(true)
	}
	write(first, 1)
	write(second, 1)
	saved := ledger.Clone()
	least = 3
	write(first, 1)
	assert.Equal(t, first.Tokens(now), 1)

	ledger = saved
	second.SetTokensNeeded(1)
	for start := now; now.Before(start.Add(2 * floor.Lease)); now = now.Add(time.Minute) {
		// The first node reaches the store again once its tokens have ended.
		if first.Tokens(now) == 0 && first.WriteDue(now) {
			write(first, 2)
		}
		if second.WriteDue(now) {
			write(second, 2)
		}
		assert.Assert(t, first.Tokens(now)+second.Tokens(now) <= 1, "after %s: %d and %d tokens",
			now.Sub(start), first.Tokens(now), second.Tokens(now))
	}
	assert.Equal(t, first.Tokens(now)+second.Tokens(now), 1, "the token is lost for good")
}
