package node

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/figwick/figwick/internal/fake/kvs"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/state/keys"
)

// TestRestoreWritesClaimsBack guards against claims of idempotency keys that stay out of the store after
// it has come back from a copy without them. The node learns of the return from another one.
func TestRestoreWritesClaimsBack(t *testing.T) {
	kv := kvs.New(clockwork.NewRealClock())
	n := run(t, kv)
	saved := kv.Snapshot()
	key := keys.Key{Service: "shop", Caller: "chandler", Text: "order-1"}
	_, err := n.keys.Claim(t.Context(), key)
	assert.NilError(t, err)
	kv.Restore(saved)
	n.fleet.receive(&wire.Gossip{From: "node-2", StoreEra: uint64(kv.Era()), RevisionOnly: true})
	_, err = n.keys.Claim(t.Context(), key)
	assert.ErrorIs(t, err, keys.ErrUnavailable)
	other := keys.NewRegistry(keys.Config{Store: kv, Clock: clockwork.NewRealClock()})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if items, err := kv.List(t.Context(), "keys/"); err != nil || len(items) == 0 {
			return poll.Continue("no claim is stored: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Second))
	found, err := other.Claim(t.Context(), key)
	assert.NilError(t, err)
	assert.Equal(t, found.State, keys.Pending)
}
