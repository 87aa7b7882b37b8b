package accept_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/fake/kvs"
	"github.com/figwick/figwick/internal/state/accept"
)

// BenchmarkConfig measures the time, memory and store traffic that a configuration
// costs. The full size is 7,900 services, 210,000 routes and limits for 530,000
// organisations; the sub-benchmarks use a sixteenth, a quarter and all of it.
func BenchmarkConfig(b *testing.B) {
	for _, divisor := range []int{16, 4, 1} {
		b.Run(fmt.Sprintf("one-part-in-%d", divisor), func(b *testing.B) { measureConfig(b, divisor) })
	}
}

func measureConfig(b *testing.B, divisor int) {
	file := largeFile(7900/divisor, 27, 530_000/divisor)
	s := kvs.New(clockwork.NewFakeClock())
	a := accept.Applier{Store: s, Clock: noWait{}}
	began := time.Now()
	if _, err := a.Apply(context.Background(), accept.Request{File: file, Apply: ident.NewApply()}); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(time.Since(began).Seconds()*1000, "ms-to-apply")
	b.ReportMetric(float64(s.Counts().Writes), "store-writes")
	fetchedBytes := 0
	fetch := func(ctx context.Context, names []string) (map[string][]byte, error) {
		found := map[string][]byte{}
		for _, name := range names {
			item, err := s.Get(ctx, accept.ChunkKey(name))
			if err != nil {
				return nil, err
			}
			found[name] = item.Value
			fetchedBytes += len(item.Value)
		}
		return found, nil
	}
	item, err := s.Get(context.Background(), accept.HeadKey)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(item.Value))/1e3, "kB-head")
	before := heapInUse()
	began = time.Now()
	node, first, err := (&accept.Replica{}).Advance(context.Background(), item.Value, fetch)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(time.Since(began).Seconds()*1000, "ms-to-adopt")
	b.ReportMetric(float64(heapInUse()-before)/1e6, "MB-in-force")
	runtime.KeepAlive(first)
	file.Services[3].Floor++
	if _, err := a.Apply(context.Background(), accept.Request{File: file, Apply: ident.NewApply()}); err != nil {
		b.Fatal(err)
	}
	if item, err = s.Get(context.Background(), accept.HeadKey); err != nil {
		b.Fatal(err)
	}
	fetchedBytes = len(item.Value)
	began = time.Now()
	node, table, err := node.Advance(context.Background(), item.Value, fetch)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(time.Since(began).Seconds()*1000, "ms-to-adopt-a-change")
	b.ReportMetric(float64(fetchedBytes)/1e3, "kB-for-a-change")
	runtime.KeepAlive(node)
	runtime.KeepAlive(table)
	b.ReportMetric(0, "ns/op")
}

// heapInUse returns the bytes in use on the heap after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse)
}
