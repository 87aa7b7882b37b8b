package node

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/fake/kvs"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/state/config"
	"github.com/figwick/figwick/internal/state/roster"
)

// TestRestoreEndsUnspentTokens guards against floor tokens that a node goes on using for hours
// after the store has come back from a copy that lacks them, while another node is granted the same.
// The node learns of the return from another one.
func TestRestoreEndsUnspentTokens(t *testing.T) {
	kv := kvs.New(clockwork.NewRealClock())
	n := run(t, kv)
	parsed, err := config.Parse([]byte(`version: 1
services:
  - name: shop
    hosts: [shop.test]
    floor: 1
    slots: 3
    backend-servers: [{id: "*"}]
`))
	assert.NilError(t, err)
	n.configure(config.Compile(1, parsed))
	tokens := func() int {
		valid := 0
		n.side.WithController(func(t eval.Context, d *admit.Controller) {
			for _, s := range d.Dump(t).Services {
				valid += s.Tokens
			}
		})
		return valid
	}
	for id, address := range map[ident.Backend]string{"i-1": "10.0.0.9:80", "i-2": "10.0.0.10:80"} {
		a := word(4, roster.Serving)
		a.ID, a.Address = id, address
		_, err := n.Announce(a)
		assert.NilError(t, err)
	}
	n.fleet.noteStoreEra(kv.Era())
	saved := kv.Snapshot()
	n.ledgers.tick(t.Context())
	assert.Equal(t, tokens(), 1)
	kv.Restore(saved)
	n.fleet.receive(&wire.Gossip{From: "node-2", StoreEra: uint64(kv.Era()), RevisionOnly: true})
	assert.Equal(t, tokens(), 0)
}
