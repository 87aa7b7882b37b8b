package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/fake/fleet"
	"github.com/figwick/figwick/internal/fake/server"
)

// path compares latencies on two nodes: of requests sent directly to a backend
// server, through the server's own node, or through the other node.
type path struct {
	fleet  *fleet.Fleet
	direct string
	client *http.Client
}

func newPath(b *testing.B) *path {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	f, err := fleet.Start(ctx, fleet.Config{Nodes: 2})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Stop)
	if err := f.Apply(ctx, []byte(strings.Replace(testFile, "slots: 3", "slots: 64", 1))); err != nil {
		b.Fatal(err)
	}
	s, err := f.Serve(ctx, 1, server.Config{ID: "shop-1", Service: "shop", Slots: 64, Handler: func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "a candle vigil cup")
	}})
	if err != nil {
		b.Fatal(err)
	}
	if err := f.InService(ctx, "shop", 1); err != nil {
		b.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.Cleanup(client.CloseIdleConnections)
	time.Sleep(6 * time.Second) // past the backend server's cold start
	return &path{fleet: f, direct: s.Address(), client: client}
}

func (p *path) get(address string) error {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+"/product", nil)
	if err != nil {
		return err
	}
	r.Host = "shop.test"
	response, err := p.client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// BenchmarkPath reports latency with callers that send one request at a time.
// Run it with -benchtime=20000x.
func BenchmarkPath(b *testing.B) {
	p := newPath(b)
	for _, callers := range []int{1, 8} {
		for _, way := range []struct {
			name    string
			address string
		}{
			{"direct", p.direct},
			{"one-node", p.fleet.Nodes[1].Callers},
			{"two-nodes", p.fleet.Nodes[0].Callers},
		} {
			b.Run(fmt.Sprintf("%s/callers-%d", way.name, callers), func(b *testing.B) {
				p.measure(b, way.address, callers)
			})
		}
	}
}

func (p *path) measure(b *testing.B, address string, callers int) {
	for range 200 {
		if err := p.get(address); err != nil {
			b.Fatal(err)
		}
	}
	times := make([]*hdrhistogram.Histogram, callers)
	var left atomic.Int64
	left.Store(int64(b.N))
	var running sync.WaitGroup
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for i := range callers {
		times[i] = hdrhistogram.New(1, 60_000_000, 3)
		running.Go(func() {
			for left.Add(-1) >= 0 {
				began := time.Now()
				if err := p.get(address); err != nil {
					b.Error(err)
					return
				}
				_ = times[i].RecordValue(time.Since(began).Microseconds())
			}
		})
	}
	running.Wait()
	b.StopTimer()
	runtime.ReadMemStats(&after)
	for _, h := range times[1:] {
		times[0].Merge(h)
	}
	b.ReportMetric(float64(times[0].ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(times[0].ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N), "allocs/req")
}

// BenchmarkMemory reports the process's memory for idle callers' connections
// and for requests in flight at an ingress and at a sidecar.
func BenchmarkMemory(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Config{Nodes: 2})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Stop()
	if err := f.Apply(ctx, []byte(strings.Replace(testFile, "slots: 3", "slots: 1000", 1))); err != nil {
		b.Fatal(err)
	}
	g := newGate()
	if _, err = f.Serve(ctx, 1, server.Config{ID: ident.Backend("shop-1"), Service: "shop", Slots: 1000, Handler: g.serve}); err != nil {
		b.Fatal(err)
	}
	if err := f.InService(ctx, "shop", 1); err != nil {
		b.Fatal(err)
	}
	time.Sleep(6 * time.Second)
	const requests = 400
	b.ReportMetric(idleConnections(b, f.Nodes[0].Callers, requests), "B/connection")
	base := heap()
	var running sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{}}
	for range requests {
		running.Go(func() {
			r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.Nodes[0].Callers+"/slow", nil)
			r.Host = "shop.test"
			if response, err := client.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
	for range requests {
		<-g.entered
	}
	b.ReportMetric(float64(heap()-base)/requests, "B/in-flight")
	close(g.leave)
	running.Wait()
	b.ReportMetric(0, "ns/op")
}

// idleConnections returns the memory of one caller connection that is idle after a
// request, including the caller's end.
func idleConnections(b *testing.B, address string, count int) float64 {
	b.Helper()
	base := heap()
	connections := make([]net.Conn, count)
	for i := range connections {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		defer conn.Close()
		connections[i] = conn
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: nobody.test\r\n\r\n"); err != nil {
			b.Fatal(err)
		}
		var some [256]byte
		if _, err := conn.Read(some[:]); err != nil {
			b.Fatal(err)
		}
	}
	return float64(heap()-base) / float64(count)
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
