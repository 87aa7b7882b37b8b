package node

import (
	"encoding/json"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/kvs"
	"github.com/figwick/figwick/internal/policy/floor"
	"github.com/figwick/figwick/internal/state/roster"
)

// TestRestoredLedgerIsUnsettled guards against floor tokens that are granted twice: the store has
// come back from a copy that has an earlier floor ledger, or none.
func TestRestoredLedgerIsUnsettled(t *testing.T) {
	for _, c := range []struct {
		name string
		kept bool
	}{
		{"earlier", true},
		{"missing", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			kv := kvs.New(clockwork.NewRealClock())
			n := run(t, kv)
			_, err := n.Announce(word(1, roster.Serving))
			assert.NilError(t, err)
			saved := kv.Snapshot()
			assert.Check(t, n.ledgers.update(t.Context(), "shop"))
			assert.Check(t, !readLedger(t, kv).Unsettled)
			if c.kept {
				saved = kv.Snapshot()
			}
			kv.Restore(saved)
			assert.Check(t, n.ledgers.update(t.Context(), "shop"))
			assert.Check(t, readLedger(t, kv).Unsettled)
		})
	}
}

func readLedger(t *testing.T, kv *kvs.Store) floor.Ledger {
	t.Helper()
	item, err := kv.Get(t.Context(), ledgerPrefix+"shop")
	assert.NilError(t, err)
	var ledger floor.Ledger
	assert.NilError(t, json.Unmarshal(item.Value, &ledger))
	return ledger
}
