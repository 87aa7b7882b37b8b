package node_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/fleet"
)

// TestStoreCallsDoNotGrowWithTheFleet counts the store calls of an idle fleet:
// at most two watches per availability zone and no other regular calls.
func TestStoreCallsDoNotGrowWithTheFleet(t *testing.T) {
	const zones, most = 3, 6
	for _, nodes := range []int{3, 12} {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		f, err := fleet.Start(ctx, fleet.Config{Nodes: nodes, Zones: zones})
		assert.NilError(t, err)
		assert.NilError(t, f.Apply(ctx, []byte(testFile)))
		assert.NilError(t, f.Until(ctx, func() bool {
			waiting := f.Store.Counts().Waiting
			return waiting == min(nodes, most)
		}), "%d nodes: %+v", nodes, f.Store.Counts())
		f.Stop()
		cancel()
	}
}

// BenchmarkSpread reports the time from the call of Apply until a configuration is
// active at every node, over real sockets in one process.
func BenchmarkSpread(b *testing.B) {
	for _, nodes := range []int{3, 9, 24} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			f, err := fleet.Start(ctx, fleet.Config{Nodes: nodes})
			if err != nil {
				b.Fatal(err)
			}
			defer f.Stop()
			if err := f.Apply(ctx, []byte(testFile)); err != nil {
				b.Fatal(err)
			}
			time.Sleep(2 * time.Second)
			worst := time.Duration(0)
			b.ResetTimer()
			for i := range b.N {
				began := time.Now()
				text := strings.Replace(testFile, "slots: 3", fmt.Sprintf("slots: %d", 3+i%50), 1)
				if err := f.Apply(ctx, []byte(text)); err != nil {
					b.Fatal(err)
				}
				worst = max(worst, time.Since(began))
			}
			b.ReportMetric(worst.Seconds()*1000, "worst-ms")
		})
	}
}
