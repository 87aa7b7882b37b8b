package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/fake/kvs"
	"github.com/figwick/figwick/internal/peer/link"
	"github.com/figwick/figwick/internal/peer/wire"
)

// TestStopEndsWhileAttemptsArrive guards against a stopping node that has finished all its work but runs on
// until its drain timeout, because ingresses that have not heard of the stop still send it attempts. Nobody
// reaches its backend server meanwhile; a server must not be without requests for two seconds. The fate of
// every attempt is known: it is refused, or its ingress sees that it was not taken.
func TestStopEndsWhileAttemptsArrive(t *testing.T) {
	t.Parallel()
	const (
		drainTimeout  = 8 * time.Second
		shutdownDelay = 200 * time.Millisecond
		maxUnreached  = 2 * time.Second
	)
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		return l
	}
	peers := listen()
	clock := clockwork.NewRealClock()
	n, err := New(Config{
		ID: "node-1", Zone: "a", Address: peers.Addr().String(), Store: kvs.New(clock), StoreDiscovery: true,
		Source: numberSource{}, Listeners: Listeners{Callers: listen(), Peers: peers},
		ExtraListeners: []ExtraListener{{Name: "other", Listener: listen(), Handler: func(*Node) http.Handler { return http.NewServeMux() }}},
		DrainTimeout:   drainTimeout, ShutdownDelay: shutdownDelay,
		Clock: clock, Random: eval.NewRandom(1), Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- n.Run(context.Background()) }()

	ingress := link.NewPool(link.Config{
		Self: link.Peer{Node: "node-2", Zone: "a", Address: "127.0.0.1:1", Instance: 2}, Clock: clock, Started: clock.Now(),
	}, func(context.Context, link.Peer, *wire.Conn, wire.Frame) {})
	defer ingress.Close()
	stopped := make(chan struct{})
	var refused, unsent, cut atomic.Int64
	send := func(i int) {
		stream, err := ingress.Open(t.Context(), peers.Addr().String())
		if err != nil {
			unsent.Add(1)
			return
		}
		defer stream.Release()
		defer stream.Close()
		err = stream.Send(wire.KindRequestHead, &wire.RequestHead{
			Attempt: fmt.Sprint(i), Service: "shop", Method: http.MethodGet, TimeoutMs: 1000,
			Stamp: stream.PeerClock.Stamp(clock.Now(), time.Second),
		})
		if err != nil && link.IsUnsent(err) {
			unsent.Add(1)
			return
		}
		switch frame, err := stream.Next(); {
		case err == nil && frame.Kind == wire.KindRefusal:
			refused.Add(1)
		case link.IsRejected(err):
			unsent.Add(1)
		default:
			cut.Add(1)
		}
	}
	var sending sync.WaitGroup
	sending.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stopped:
				return
			case <-time.After(20 * time.Millisecond):
			}
			sending.Go(func() { send(i) })
		}
	})
	time.Sleep(shutdownDelay)
	begin := clock.Now()
	n.Stop()
	assert.NilError(t, <-ended)
	took := clock.Since(begin)
	close(stopped)
	sending.Wait()
	assert.Check(t, refused.Load() > 0)
	assert.Equal(t, cut.Load(), int64(0), "attempts of unknown fate; %d were refused, %d not sent", refused.Load(), unsent.Load())
	assert.Check(t, took < shutdownDelay+maxUnreached, "the node ended after %s", took)
}
