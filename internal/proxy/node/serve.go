package node

import (
	"context"
	"math"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/peer/link"
	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/policy/health"
	"github.com/figwick/figwick/internal/proxy/front"
)

// startServers starts serving on all listeners.
func (n *Node) startServers(ctx context.Context, group *tasks) {
	n.callers = n.newCallerServer()
	l := n.config.Listeners
	group.Go(func() error {
		return n.serveListener(ctx, n.callers, n.callerConns.Listen(n.pipeline.Listen(l.Callers)))
	})
	group.Go(func() error { return n.links.Serve(ctx, l.Peers) })
	listeners := n.config.ExtraListeners
	if l.Backends != nil {
		listeners = append(listeners, ExtraListener{Name: "backends", Listener: l.Backends, Handler: (*Node).backendHandler})
	}
	if l.Admin != nil {
		listeners = append(listeners, ExtraListener{Name: "admin", Listener: l.Admin, Handler: n.config.Admin})
	}
	for _, d := range listeners {
		group.Go(func() error {
			return n.serveListener(ctx, n.newInternalServer(d.Handler(n), d.Name), n.internalConns.Listen(d.Listener))
		})
	}
}

// newLinks returns the sessions with other nodes.
func (n *Node) newLinks() *link.Pool {
	c := &n.config
	return link.NewPool(link.Config{
		Self:    link.Peer{Node: c.ID, Zone: c.Zone, Address: c.Address, Instance: n.instance},
		Token:   c.FleetToken,
		Dialer:  c.Dialer,
		Clock:   c.Clock,
		Started: n.started,
		Log:     c.Log.Named("link"),
	}, n.handle)
}

// newController returns the sidecar's admission controller.
func (n *Node) newController() *admit.Controller {
	d := admit.New(n.config.ID, n.instance)
	if n.config.StoreDiscovery {
		d.SetPrior(defaultPrior)
	}
	if n.config.RetryBase.MaxTokens > 0 {
		d.EnableRetryBudget(n.config.FirstStart)
	}
	return d
}

// defaultPrior is the baseline that a backend server is compared with while nothing is
// known of the service's other servers. Mean and Spread are those of the logarithm
// of the latency relative to the target latency; they follow from the service times
// and targets of the deployments. Some failures are normal. An unhealthy server
// fails most of its requests.
var defaultPrior = health.Baseline{Mean: math.Log(0.3), Spread: 0.6, FailureRate: 0.05, Weight: 1, UnhealthyFailureRate: 0.6}

// finder returns how the ingress looks up sidecars. A fleet with StoreDiscovery has no directory.
func (n *Node) finder() front.Finder {
	if n.config.StoreDiscovery {
		return n.fleet
	}
	return n.directory
}

// serveListener serves on a listener until the context ends. It returns an error only if
// the listener fails, and not after Abort.
func (n *Node) serveListener(ctx context.Context, s *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || n.aborted() {
		return nil
	}
	events.Emit(n.log, events.ListenerFailed, "listener", l.Addr().String(), "error", err)
	return errors.Wrapf(err, "node: serve on %s", l.Addr())
}
