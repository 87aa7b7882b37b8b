package node

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/policy/retry"
)

const (
	// controllerInterval is how often the admission controller checks queue ages
	// and deadlines.
	controllerInterval = 50 * time.Millisecond
	// gossipInterval is how often the membership is checked for due exchanges.
	gossipInterval = 200 * time.Millisecond
	// directoryInterval is how often the node's own records are checked for changes
	// that the directory owners must get, and for due lookups.
	directoryInterval = 250 * time.Millisecond
	// maintenanceInterval is the interval of everything that is not urgent: floor
	// ledgers, callers' limits, seed addresses, the expiry of fences, retry shares
	// and gauges. retry.Fleet.Share relies on one call per second.
	maintenanceInterval = time.Second
)

// tasks are the servers and loops of a node. The failure of one leaves the others
// running, so that the node can stop gracefully.
type tasks struct {
	errgroup.Group
	onFailure func()
}

// Go runs a task. It calls onFailure if the task returns an error.
func (g *tasks) Go(task func() error) {
	g.Group.Go(func() error {
		err := task()
		if err != nil {
			g.onFailure()
		}
		return err
	})
}

// startLoops starts the node's periodic work and the configuration followers. They
// end with the context.
func (n *Node) startLoops(ctx context.Context, group *tasks) {
	group.Go(func() error { return n.runEvery(ctx, controllerInterval, n.tickController) })
	group.Go(func() error { return n.runEvery(ctx, gossipInterval, n.fleet.tick) })
	group.Go(func() error { return n.runEvery(ctx, sweepInterval, n.sweepConnections) })
	group.Go(func() error { return n.runEvery(ctx, maintenanceInterval, n.maintain) })
	if n.config.RevokeWithin > 0 {
		group.Go(func() error { return n.proofs.run(ctx) })
	}
	if n.quotas != nil {
		group.Go(func() error { return n.runEvery(ctx, quotaInterval, n.quotas.tick) })
	}
	if n.config.Source != nil {
		group.Go(func() error { return n.sourceFollower.watch(ctx) })
		group.Go(func() error { return n.sourceFollower.fetchNewer(ctx) })
	} else {
		group.Go(func() error { return n.configs.watch(ctx) })
		group.Go(func() error { return n.configs.fetchNewer(ctx) })
	}
	if n.config.StoreDiscovery {
		group.Go(func() error { return n.registration.run(ctx) })
		return
	}
	group.Go(func() error { return n.runEvery(ctx, directoryInterval, n.directory.tick) })
	group.Go(func() error { return n.runEvery(ctx, maintenanceInterval, n.ledgers.tick) })
	group.Go(func() error { return n.runEvery(ctx, maintenanceInterval, n.allocators.tick) })
	group.Go(func() error { return n.runEvery(ctx, maintenanceInterval, n.configs.updateSeeds) })
	group.Go(func() error { return n.runEvery(ctx, maintenanceInterval, n.configs.writeBack) })
}

// runEvery calls f at once and then at every interval until the context ends. The
// calls do not overlap; a call that takes longer delays the next.
func (n *Node) runEvery(ctx context.Context, interval time.Duration, f func(ctx context.Context)) error {
	ticker := n.config.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *Node) tickController(context.Context) {
	n.side.Do(func(t eval.Context, d *admit.Controller) admit.Ops { return d.Tick(t) })
	n.updateServing()
	n.proofs.tick()
}

// updateServing updates the service and slots in the node's own membership record.
// Only the nodes of a fleet with StoreDiscovery publish them there.
func (n *Node) updateServing() {
	if !n.config.StoreDiscovery {
		return
	}
	service, slots := n.serving()
	n.fleet.setServing(service, slots)
}

// serving returns the service of the backend server beside this node and its slots.
func (n *Node) serving() (ident.Service, int) {
	var service ident.Service
	slots := 0
	n.side.WithController(func(_ eval.Context, d *admit.Controller) { service, slots = d.Serving() })
	return service, slots
}

// maintain expires old fences, updates the gauges and sets the share of the retry
// budget.
func (n *Node) maintain(context.Context) {
	queued, held := 0, 0
	n.side.WithController(func(t eval.Context, d *admit.Controller) {
		d.Expire(t)
		held = d.ActiveAttempts()
		for _, s := range d.Dump(t).Services {
			queued += s.Queued
		}
	})
	n.meter.Active.Update(float64(held))
	n.meter.Queued.Update(float64(queued))
	n.meter.PipelineBytes.Update(float64(n.pipeline.HeldBytes()))
	live := len(n.fleet.live())
	n.meter.Members.Update(float64(live))
	n.proofs.report()
	if base := n.retryBase.Load(); base.MaxTokens > 0 {
		n.updateRetryShare(*base)
	}
}

// updateRetryShare sets this sidecar's share of its service's retry budget from the
// number of live nodes that serve the service.
func (n *Node) updateRetryShare(base retry.Base) {
	own := n.fleet.self().Service
	serving := 0
	for _, r := range n.fleet.live() {
		if r.Service == own && r.Slots > 0 {
			serving++
		}
	}
	share := n.retryFleet.Share(base, serving, n.config.Clock.Since(n.started))
	n.side.WithController(func(_ eval.Context, d *admit.Controller) { d.SetRetryShare(own, share) })
}

// stop hands the backend servers over to other nodes, drains and leaves the fleet.
// It returns when nothing is in flight, or after DrainTimeout, when all requests are being
// answered. It logs the requests and attempts that are cut off then.
func (n *Node) stop(work context.Context) {
	events.Emit(n.log, events.NodeLeaving, "node", string(n.config.ID))
	ctx, done := context.WithTimeout(work, n.config.DrainTimeout)
	defer done()
	end := n.config.Clock.Now().Add(n.config.DrainTimeout)
	n.front.StopBy(ctx, end)
	n.side.WithController(func(_ eval.Context, d *admit.Controller) { d.StopBy(end) })
	n.state.Store(phaseHandingOver)
	if n.config.StoreDiscovery {
		n.delayShutdown(ctx)
		n.awaitCallers(ctx, end.Add(-lastAcceptTime))
	}
	n.fleet.leave(ctx, false)
	n.callerConns.Drain()
	if !n.config.StoreDiscovery {
		n.handOver(ctx)
	}
	n.state.Store(phaseDraining)
	n.front.Drain()
	active := 0
	n.side.Do(func(_ eval.Context, d *admit.Controller) admit.Ops {
		d.Drain()
		active = d.ActiveAttempts()
		return admit.Ops{}
	})
	events.Emit(n.log, events.NodeDraining, "requests", n.front.InFlight(), "attempts", active)
	if n.config.StoreDiscovery {
		n.awaitLocalAttempts(ctx, end.Add(-lastAcceptTime))
	} else {
		n.directory.tick(ctx)
	}
	_ = n.config.Listeners.Callers.Close()
	n.waitUntil(ctx, func() bool {
		n.callerConns.CloseIdle()
		return n.idle()
	})
	n.links.Shutdown()
	n.busyAt.Store(n.config.Clock.Now().UnixNano())
	n.waitUntil(ctx, func() bool {
		n.callerConns.CloseIdle()
		return n.quiet()
	})
	if !n.config.StoreDiscovery {
		n.ledgers.returnTokens(ctx)
	}
	n.fleet.leave(ctx, true)
	// Requests may have come until now on connections that were still open. Each of these
	// closes when its response has been sent.
	n.waitUntil(ctx, func() bool { return n.callerConns.CloseIdle() == 0 && n.idle() })
	n.awaitAnswers(work)
	_ = n.callers.Shutdown(ctx)
	if !n.idle() {
		n.reportCut()
		return
	}
	events.Emit(n.log, events.NodeStopped, "node", string(n.config.ID))
}

// delayShutdown keeps the node working for ShutdownDelay, until all callers have
// noticed that it is not ready. The backend server beside the node is one of these
// callers: it may run on after the node has stopped.
func (n *Node) delayShutdown(ctx context.Context) {
	select {
	case <-n.config.Clock.After(n.config.ShutdownDelay):
	case <-ctx.Done():
	}
}

// awaitCallers waits until the node's own callers have their answers, at most until the given
// time. The node cannot end before, and meanwhile its backend server still gets requests, as
// far as these can end in time too: other nodes reach it through this one alone.
func (n *Node) awaitCallers(ctx context.Context, until time.Time) {
	ctx, done := context.WithDeadline(ctx, until)
	defer done()
	n.callerConns.Drain()
	n.front.Drain()
	n.side.WithController(func(_ eval.Context, d *admit.Controller) { d.WindDown() })
	n.waitUntil(ctx, func() bool { return n.front.CallersInFlight() == 0 })
}

// awaitLocalAttempts waits until the backend server beside the node has finished its
// attempts, at most until the given time. While it works on them, its own requests
// come to this node.
func (n *Node) awaitLocalAttempts(ctx context.Context, until time.Time) {
	ctx, done := context.WithDeadline(ctx, until)
	defer done()
	n.waitUntil(ctx, func() bool {
		held := 0
		n.side.WithController(func(_ eval.Context, d *admit.Controller) { held = d.ActiveAttempts() })
		return held == 0
	})
}

// awaitAnswers waits until the answers that end the requests in flight at the end of a stop
// have been sent, for up to lateAnswerTime. A process that gets little processor time is
// late with them.
func (n *Node) awaitAnswers(ctx context.Context) {
	ctx, done := context.WithTimeout(ctx, lateAnswerTime)
	defer done()
	n.waitUntil(ctx, func() bool { return n.callerConns.CloseIdle() == 0 && n.front.InFlight() == 0 })
}

// handOver waits until the backend servers have announced themselves to other
// nodes, for up to handOverTimeout. The response to their next renewal asks them to.
func (n *Node) handOver(ctx context.Context) {
	if len(n.fleet.others()) == 0 {
		return
	}
	ctx, done := context.WithTimeout(ctx, handOverTimeout)
	defer done()
	n.waitUntil(ctx, func() bool {
		left := 0
		n.side.WithController(func(_ eval.Context, d *admit.Controller) { left = len(d.Servers()) })
		return left == 0
	})
}

// handOverTimeout is longer than the interval at which announcements are renewed
// (renewAfter), so that each backend server renews once.
const handOverTimeout = 5 * time.Second

// idle reports whether no request, attempt or relayed stream is in flight.
func (n *Node) idle() bool {
	held := 0
	n.side.WithController(func(_ eval.Context, d *admit.Controller) { held = d.ActiveAttempts() })
	return held == 0 && n.relayed.Load() == 0 && n.front.InFlight() == 0 && len(n.side.Running()) == 0
}

// quiet reports whether the node has been idle for so long that the last responses
// have been sent, and the attempts that were still on their way here are rejected. Ingresses
// that have not heard of the stop may send more for long, so it does not wait for silence.
func (n *Node) quiet() bool {
	now := n.config.Clock.Now()
	if !n.idle() {
		n.busyAt.Store(now.UnixNano())
	}
	quiet := quietTime
	if n.config.StoreDiscovery {
		quiet = regionQuietTime
	}
	return now.Sub(time.Unix(0, n.busyAt.Load())) >= quiet
}

const (
	// quietTime is longer than a message takes from the most distant ingress.
	quietTime = time.Second
	// regionQuietTime is the same for a fleet with StoreDiscovery, which lies
	// within one region.
	regionQuietTime = 300 * time.Millisecond
	// lastAcceptTime is how long before the end of a graceful stop the node accepts
	// its last requests.
	lastAcceptTime = time.Second
	// lateAnswerTime is how long a stop lasts beyond DrainTimeout while answers are sent.
	lateAnswerTime = 250 * time.Millisecond
)

// waitUntil polls a condition until it is true or the context ends.
func (n *Node) waitUntil(ctx context.Context, condition func() bool) {
	for !condition() {
		select {
		case <-n.config.Clock.After(controllerInterval):
		case <-ctx.Done():
			return
		}
	}
}

// reportCut logs the requests, relayed streams and attempts that are still in flight
// when the node stops. The outcome of these attempts is unknown.
func (n *Node) reportCut() {
	events.Emit(n.log, events.NodeCut,
		"requests", n.front.InFlight(), "relayed", n.relayed.Load())
	for id, server := range n.side.Running() {
		events.Emit(n.log, events.NodeCut, "attempt", string(id), "backend-server", server, "outcome", "unknown")
	}
}
