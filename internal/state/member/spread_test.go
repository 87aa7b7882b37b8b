package member_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/eval"
)

const (
	// largeNodes and largeZones are the size of the users' largest deployment.
	largeNodes = 350
	largeZones = 5
	// spreadTimeout is the part of the three seconds in which a configuration must be
	// in force everywhere that is left for its spread. The rest is for the watch of the
	// store and for the fetching of the text.
	spreadTimeout = 2 * time.Second
	spreadSeeds   = 2
)

// TestRevisionSpreadsInLargeFleet plays a new revision in a fleet of 350 nodes that has just
// lost some of them, while paths between others are cut. One node of each zone applies it
// first. All nodes must know it within spreadTimeout.
func TestRevisionSpreadsInLargeFleet(t *testing.T) {
	for _, c := range []struct {
		name string
		// cut is the share of the directed paths that lose all messages, killed that of
		// the nodes which stop just before the revision comes.
		cut, killed float64
	}{
		{"calm", 0, 0},
		{"paths cut", 0.4, 0},
		{"nodes killed", 0, 0.3},
		{"paths cut and nodes killed", 0.3, 0.2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var longest time.Duration
			for seed := range uint64(spreadSeeds) {
				random := eval.NewRandom(seed)
				f := newFleet(largeNodes, largeZones, random)
				for _, g := range f.groups {
					g.MergeRecords(f.now, f.nodes)
				}
				cut := map[[2]int]bool{}
				for from := range largeNodes {
					for to := range largeNodes {
						cut[[2]int{from, to}] = random.Float64() < c.cut
					}
				}
				f.loses = func(from, to int) bool { return cut[[2]int{from, to}] }
				for i := range largeNodes {
					f.down[i] = i >= largeZones && random.Float64() < c.killed
				}
				for i := range largeZones {
					f.groups[i].SetAppliedRevision(7)
					f.deliver(i, f.groups[i].SpreadRevision(f.turn()))
				}
				took, ok := f.advanceUntil(time.Minute, func() bool { return f.applyNewest(7) })
				assert.Check(t, ok)
				longest = max(longest, took)
			}
			t.Logf("longest of %d seeds: %s", spreadSeeds, longest)
			assert.Check(t, longest <= spreadTimeout, fmt.Sprint(longest))
		})
	}
}

// TestStoreEraReachesEveryNode guards against nodes that do not learn that the store has come
// back from an older copy: only the nodes that watch it notice by themselves. One node of each
// zone of a fleet of 350 notices; some paths are cut.
func TestStoreEraReachesEveryNode(t *testing.T) {
	random := eval.NewRandom(1)
	f := newFleet(largeNodes, largeZones, random)
	for _, g := range f.groups {
		g.NoteStoreEra(1)
		g.MergeRecords(f.now, f.nodes)
	}
	cut := map[[2]int]bool{}
	for from := range largeNodes {
		for to := range largeNodes {
			cut[[2]int{from, to}] = random.Float64() < 0.3
		}
	}
	f.loses = func(from, to int) bool { return cut[[2]int{from, to}] }
	for i := range largeZones {
		f.groups[i].NoteStoreEra(2)
	}
	told := map[int]bool{}
	took, ok := f.advanceUntil(time.Minute, func() bool {
		for i, g := range f.groups {
			if g.StoreEra() == 2 && !told[i] {
				told[i] = true
				f.deliver(i, g.SpreadRevision(f.turn()))
			}
		}
		return len(told) == largeNodes
	})
	assert.Check(t, ok)
	assert.Check(t, took <= spreadTimeout, "%s", took)
}
