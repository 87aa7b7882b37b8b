package node

import (
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/fake/kvs"
	"github.com/figwick/figwick/internal/state/store"
)

// TestOddEntryNamesNoNode guards against an entry of another writer among those of the nodes that ends a
// process, hides the entries beside it, or adds a node that nobody can reach: a poller of its zone
// or a part of the retry budget would be assigned to it.
func TestOddEntryNamesNoNode(t *testing.T) {
	deep := strings.Repeat(`{"a":`, 100_000) + "1" + strings.Repeat("}", 100_000)
	for name, odd := range map[string]string{
		"deeply nested":       `{"address":"10.0.0.7:7380","zone":"a","more":` + deep + `}`,
		"deep array":          strings.Repeat("[", 500_000),
		"number too large":    `{"address":"10.0.0.7:7380","zone":"a","incarnation":1e400}`,
		"number of 65 bits":   `{"address":"10.0.0.7:7380","zone":"a","incarnation":36893488147419103232}`,
		"number below zero":   `{"address":"10.0.0.7:7380","zone":"a","instance":-1}`,
		"port out of range":   `{"address":"10.0.0.7:99999","zone":"a","incarnation":1}`,
		"port zero":           `{"address":"10.0.0.7:0","zone":"a","incarnation":1}`,
		"port below zero":     `{"address":"10.0.0.7:-1","zone":"a","incarnation":1}`,
		"port that is a name": `{"address":"10.0.0.7:http","zone":"a","incarnation":1}`,
		"no port":             `{"address":"10.0.0.7","zone":"a","incarnation":1}`,
		"no host":             `{"address":":7380","zone":"a","incarnation":1}`,
		"bracket left open":   `{"address":"[::1","zone":"a","incarnation":1}`,
		"another type":        `{"address":7380,"zone":"a"}`,
		"no object":           `"10.0.0.7:7380"`,
		"no address":          `{"zone":"a"}`,
		"not JSON":            "\xff\x00",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			kv := kvs.New(clockwork.NewRealClock())
			put := func(key, value string) {
				_, err := kv.CAS(t.Context(), entryPrefix+key, []byte(value), store.Version{}, store.Lease{})
				assert.NilError(t, err)
			}
			put("node-0", `{"address":"10.0.0.1:7380","zone":"a","instance":5,"incarnation":1}`)
			put("node-11", odd)
			put("node-2", `{"address":"10.0.0.2:7380","zone":"a","instance":6,"incarnation":1}`)
			n := run(t, listingStore{kv})
			var ids []ident.Node
			for _, r := range n.fleet.live() {
				ids = append(ids, r.ID)
			}
			assert.DeepEqual(t, ids, []ident.Node{"node-0", "node-1", "node-2"})
		})
	}
}
