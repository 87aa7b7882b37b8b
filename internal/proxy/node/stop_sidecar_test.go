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

// TestStoppingSidecarRefusesSlowAttempts guards against a sidecar that starts attempts during its
// graceful stop although they would probably still run at its end.
func TestStoppingSidecarRefusesSlowAttempts(t *testing.T) {
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		return l
	}
	peers := listen()
	n, err := New(Config{
		ID: "node-1", Zone: "a", Address: peers.Addr().String(), Store: kvs.New(clockwork.NewRealClock()), StoreDiscovery: true,
		Source: numberSource{}, Listeners: Listeners{Callers: listen(), Peers: peers},
		ExtraListeners: []ExtraListener{{Name: "other", Listener: listen(), Handler: func(*Node) http.Handler { return http.NewServeMux() }}},
		DrainTimeout:   2 * time.Second, ShutdownDelay: time.Second,
		Clock: clockwork.NewRealClock(), Random: eval.NewRandom(1), Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- n.Run(context.Background()) }()
	n.configure(config.Compile(1, &config.File{Version: 1, Services: []config.Service{
		{Name: "shop", Slots: 3, Queue: config.Queue{Length: 3}, BackendServers: []config.AllowRule{{ID: "*"}}},
	}}))
	for _, err := n.Announce(word(1, roster.Serving)); err != nil; _, err = n.Announce(word(1, roster.Serving)) {
		assert.ErrorIs(t, err, roster.ErrStale)
	}
	decide := func(id ident.Attempt) admit.Decision {
		var decision admit.Decision
		n.side.WithController(func(t eval.Context, c *admit.Controller) {
			deadline := t.Now.Add(time.Minute)
			decision = c.Admit(t, admit.Attempt{
				ID: id, Service: "shop", Repeatable: true, Target: 5 * time.Second, StartBefore: deadline, Deadline: deadline,
			})
			if decision.Kind == admit.Granted {
				c.FinishShed(t, id)
			}
		})
		return decision
	}
	assert.Equal(t, decide("before").Kind, admit.Granted)
	n.Stop()
	for n.state.Load() == phaseServing {
		time.Sleep(time.Millisecond)
	}
	assert.DeepEqual(t, decide("during"), admit.Decision{Kind: admit.Refused, Reason: admit.Leaving})
	assert.Equal(t, n.state.Load(), phaseHandingOver, "the node refuses everything when it drains")
	assert.NilError(t, <-ended)
}
