package index_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/state/index"
)

var now = time.Unix(1_000_000, 0)

func record(node string, marks ...index.BackendEntry) index.Record {
	return index.Record{Service: "shop", Node: ident.Node(node), Address: node, Slots: 3 * len(marks), Backends: marks}
}

func mark(id string, incarnation int, s index.State) index.BackendEntry {
	return index.BackendEntry{ID: ident.Backend(id), Incarnation: ident.Incarnation(incarnation), State: s}
}

// TestTwoNodesClaimOneServer checks that the higher incarnation wins and that the
// other node learns of it with its next put.
func TestTwoNodesClaimOneServer(t *testing.T) {
	var x index.Index
	assert.Equal(t, len(x.Put(now, record("a", mark("s", 1, index.InService)))), 0)
	assert.Equal(t, len(x.Put(now, record("b", mark("s", 2, index.InService)))), 0)
	moved := x.Put(now, record("a", mark("s", 1, index.InService)))
	assert.DeepEqual(t, moved, []index.BackendEntry{{ID: "s", Incarnation: 2}})
	found := x.Get(now, "shop")
	assert.Equal(t, found[0].Alive, 0)
	assert.Equal(t, found[1].InService, 1)
}

// TestRecordsExpire checks the counts of a service, and that records are removed at
// the end of their lease.
func TestRecordsExpire(t *testing.T) {
	var x index.Index
	x.Put(now, record("a", mark("s", 1, index.InService), mark("u", 1, index.Ejected)))
	x.Put(now.Add(index.PutInterval), record("b", mark("v", 1, index.Leaving)))
	found := x.Get(now.Add(index.Lease-1), "shop")
	assert.Equal(t, len(found), 2)
	assert.Equal(t, found[0].Ejected, 1)
	assert.Equal(t, found[0].Alive, 2)
	assert.Equal(t, found[1].Draining, 1)
	assert.Equal(t, len(x.Get(now.Add(index.Lease), "shop")), 1)
	x.Put(now, record("b"))
	assert.Equal(t, len(x.Services(now.Add(2*index.Lease))), 0)
}

// BenchmarkOwned measures the memory that an owner needs for the directory of one
// service with 25 backend servers at 25 nodes.
func BenchmarkOwned(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		var x index.Index
		for i := range 25 {
			x.Put(now, record(fmt.Sprintf("node-%04d", i), mark(fmt.Sprintf("server-%05d", i), 1, index.InService)))
		}
	}
}
