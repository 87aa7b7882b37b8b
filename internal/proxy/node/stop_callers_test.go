package node

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/fake/kvs"
	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/state/config"
	"github.com/figwick/figwick/internal/state/roster"
)

// TestStoppingSidecarServesWhileCallersWait guards against a sound server that gets no requests for as long as its
// stopping node waits for callers of its own. Attempts that a stop could cut are refused all the same.
func TestStoppingSidecarServesWhileCallersWait(t *testing.T) {
	t.Parallel()
	const drainTimeout, shutdownDelay = 4 * time.Second, 200 * time.Millisecond
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		return l
	}
	peers, callers := listen(), listen()
	n, err := New(Config{
		ID: "node-1", Zone: "a", Address: peers.Addr().String(), Store: kvs.New(clockwork.NewRealClock()), StoreDiscovery: true,
		Source: numberSource{}, Listeners: Listeners{Callers: callers, Peers: peers},
		ExtraListeners: []ExtraListener{{Name: "other", Listener: listen(), Handler: func(*Node) http.Handler { return http.NewServeMux() }}},
		DrainTimeout:   drainTimeout, ShutdownDelay: shutdownDelay, NoWaitTries: 1,
		Clock: clockwork.NewRealClock(), Random: eval.NewRandom(1), Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- n.Run(context.Background()) }()
	anyServer := []config.AllowRule{{ID: "*"}}
	n.configure(config.Compile(1, &config.File{Version: 1, Services: []config.Service{
		{Name: "shop", Slots: 3, Queue: config.Queue{Length: 3}, BackendServers: anyServer},
		{Name: "absent", Hosts: []string{"absent.test"}, Deadline: 10 * time.Second, Slots: 3, BackendServers: anyServer},
	}}))
	for _, err := n.Announce(word(1, roster.Serving)); err != nil; _, err = n.Announce(word(1, roster.Serving)) {
		assert.ErrorIs(t, err, roster.ErrStale)
	}
	decide := func(id ident.Attempt, repeatable bool, timeout time.Duration) admit.Kind {
		var decision admit.Decision
		n.side.WithController(func(t eval.Context, c *admit.Controller) {
			deadline := t.Now.Add(timeout)
			decision = c.Admit(t, admit.Attempt{
				ID: id, Service: "shop", Repeatable: repeatable, Target: 100 * time.Millisecond, StartBefore: deadline, Deadline: deadline,
			})
			if decision.Kind == admit.Granted {
				c.FinishShed(t, id)
			}
		})
		return decision.Kind
	}

	// A request to a service without servers waits for a second.
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+callers.Addr().String(), http.NoBody)
		assert.Check(t, err)
		r.Host = "absent.test"
		if response, err := http.DefaultClient.Do(r); err == nil {
			_ = response.Body.Close()
		}
	}()
	for n.front.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	n.Stop()
	time.Sleep(2 * shutdownDelay)
	assert.Equal(t, n.front.CallersInFlight(), 1)
	assert.Equal(t, decide("repeatable", true, time.Minute), admit.Granted)
	assert.Equal(t, decide("ends in time", false, time.Second), admit.Granted)
	assert.Equal(t, decide("may be cut", false, time.Minute), admit.Refused)
	<-answered
	begin := time.Now()
	assert.NilError(t, <-ended)
	assert.Check(t, time.Since(begin) < 2*time.Second, "ended %s after its last caller", time.Since(begin))
	assert.Equal(t, decide("after the stop", true, time.Minute), admit.Refused)
}
