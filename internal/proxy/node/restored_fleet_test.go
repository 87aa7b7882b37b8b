package node_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/fake/server"
	"github.com/figwick/figwick/internal/state/accept"
)

// TestRunningFleetWritesConfigurationBack guards against a store that comes back from an older copy
// and keeps an earlier configuration than the one in force: a node that starts later without others
// would take that one, and the next apply would get a revision that is known already.
func TestRunningFleetWritesConfigurationBack(t *testing.T) {
	b := start(t, 3, 1, server.Config{})
	saved := b.Store.Snapshot()
	assert.NilError(t, b.Apply(b.ctx, []byte(testFile)))
	b.Store.Restore(saved)
	ctx, cancel := context.WithTimeout(b.ctx, 15*time.Second)
	defer cancel()
	assert.NilError(t, b.Until(ctx, func() bool {
		item, err := b.Store.Get(b.ctx, accept.HeadKey)
		assert.NilError(t, err)
		head, err := accept.ParseHead(item.Value)
		assert.NilError(t, err)
		return head.Revision == 2
	}))
	assert.NilError(t, b.Apply(b.ctx, []byte(testFile)))
	for _, m := range b.Nodes {
		assert.Equal(t, m.Node.Ready().Revision, ident.Revision(3))
	}
}
