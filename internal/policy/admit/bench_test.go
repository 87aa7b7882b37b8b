package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/policy/health"
	"github.com/figwick/figwick/internal/state/config"
	"github.com/figwick/figwick/internal/state/roster"
)

// BenchmarkAttempt measures Admit and Finish for one attempt, by the number of
// announced backend servers.
func BenchmarkAttempt(b *testing.B) {
	for _, servers := range []int{10, 40, 80} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			d, t := benchController(b, servers)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				t.Now = t.Now.Add(time.Millisecond)
				id := ident.Attempt(fmt.Sprint(i))
				d.Admit(t, admit.Attempt{
					ID: id, Service: "ledger", Repeatable: true,
					StartBefore: t.Now.Add(time.Second), Deadline: t.Now.Add(time.Second),
				})
				d.Finish(t, id, health.Result{Took: 20 * time.Millisecond}, nil)
			}
		})
	}
}

// BenchmarkTick measures one Tick, which a node calls every 50 ms.
func BenchmarkTick(b *testing.B) {
	for _, servers := range []int{10, 40, 80} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			d, t := benchController(b, servers)
			b.ReportAllocs()
			for b.Loop() {
				d.Tick(t)
			}
		})
	}
}

// benchController returns a Controller whose servers belong to ten services, as at the
// fleet size that the project targets.
func benchController(b *testing.B, servers int) (*admit.Controller, eval.Context) {
	b.Helper()
	parsed, err := config.Parse([]byte(configFile))
	if err != nil {
		b.Fatal(err)
	}
	d := admit.New("node", 1)
	t := eval.Context{Now: time.Unix(1_000_000, 0), Random: rand.New(rand.NewPCG(1, 2))}
	d.Configure(t, config.Compile(1, parsed))
	for i := range servers {
		service := ident.Service("ledger")
		if i >= servers/10 {
			service = ident.Service(fmt.Sprintf("service-%d", i%9))
		}
		_, err := d.Announce(t, roster.Announcement{
			ID: ident.Backend(fmt.Sprint(i)), Service: service, Address: "10.0.0.1:80",
			Slots: 3, Incarnation: 1, State: roster.Serving,
		})
		if err != nil {
			b.Fatal(err)
		}
	}
	return d, t
}
