package accept_test

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/fake/kvs"
	"github.com/figwick/figwick/internal/state/accept"
)

// restoredFleet is an accept.Fleet that knows no configuration of its own.
type restoredFleet bool

func (f restoredFleet) Known(context.Context) (accept.Known, error) {
	return accept.Known{Replica: &accept.Replica{}, Restored: bool(f)}, nil
}

func (restoredFleet) Accepted(context.Context, []byte, accept.Fetch) {}

// TestRestoredChunksAreKept guards against a configuration without its chunks: soon after the store
// has come back from an older copy, an apply deletes chunks that a head which is written back needs.
func TestRestoredChunksAreKept(t *testing.T) {
	for _, restored := range []bool{false, true} {
		kv := kvs.New(clockwork.NewRealClock())
		apply := func(services int) map[string]bool {
			a := accept.Applier{Store: kv, Clock: noWait{}, Fleet: restoredFleet(restored)}
			result, err := a.Apply(t.Context(), accept.Request{File: newFile(services, services), Apply: ident.NewApply(), By: "anne"})
			assert.NilError(t, err)
			assert.Equal(t, result.State, accept.Accepted)
			items, err := kv.List(t.Context(), accept.ChunkKey(""))
			assert.NilError(t, err)
			keys := map[string]bool{}
			for _, item := range items {
				keys[item.Key] = true
			}
			return keys
		}
		before := apply(1)
		after := apply(2)
		deleted := 0
		for key := range before {
			if !after[key] {
				deleted++
			}
		}
		assert.Equal(t, deleted > 0, !restored, "restored %v: %d of %d chunks were deleted", restored, deleted, len(before))
	}
}
