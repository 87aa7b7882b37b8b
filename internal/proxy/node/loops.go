package node

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/policy/desk"
	"github.com/figwick/figwick/internal/policy/retry"
)

const (
	// deskBeat is how often ages and deadlines at the sidecar are looked at.
	deskBeat = 50 * time.Millisecond
	// fleetBeat is how often due exchanges are looked for.
	fleetBeat = 200 * time.Millisecond
	// putBeat is how often changes are looked for to put to directories.
	putBeat = 250 * time.Millisecond
	// slowBeat is for books, limits, fences and gauges.
	slowBeat = time.Second
)

func (n *Node) loops(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return n.every(ctx, deskBeat, n.deskTick) })
	group.Go(func() error { return n.every(ctx, fleetBeat, n.fleet.tick) })
	group.Go(func() error { return n.every(ctx, slowBeat, n.slowTick) })
	if n.config.Source != nil {
		group.Go(func() error { return n.sourced.watch(ctx) })
		group.Go(func() error { return n.sourced.follow(ctx) })
	} else {
		group.Go(func() error { return n.configs.watch(ctx) })
		group.Go(func() error { return n.configs.fetchNewer(ctx) })
	}
	if n.config.Listed {
		group.Go(func() error { return n.entry.run(ctx) })
		return
	}
	group.Go(func() error { return n.every(ctx, putBeat, n.directory.tick) })
	group.Go(func() error { return n.every(ctx, slowBeat, n.books.tick) })
	group.Go(func() error { return n.every(ctx, slowBeat, n.homes.tick) })
	group.Go(func() error { return n.every(ctx, slowBeat, n.configs.seed) })
}

// every calls a function at a beat until the context ends.
func (n *Node) every(ctx context.Context, beat time.Duration, f func(ctx context.Context)) error {
	ticker := n.config.Clock.NewTicker(beat)
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

func (n *Node) deskTick(context.Context) {
	n.side.Do(func(t turn.Turn, d *desk.Controller) desk.Ops { return d.Tick(t) })
	n.tellServing()
}

// tellServing brings the node's own record in step with what it serves.
func (n *Node) tellServing() {
	if !n.config.Listed {
		return
	}
	var service ident.Service
	slots := 0
	n.side.WithController(func(_ turn.Turn, d *desk.Controller) { service, slots = d.Serving() })
	n.fleet.setServing(service, slots)
}

func (n *Node) slowTick(context.Context) {
	queued, held := 0, 0
	n.side.WithController(func(t turn.Turn, d *desk.Controller) {
		d.Expire(t)
		held = d.ActiveAttempts()
		for _, s := range d.Dump(t).Services {
			queued += s.Queued
		}
	})
	n.meter.Held.Update(float64(held))
	n.meter.Queued.Update(float64(queued))
	live := len(n.fleet.live())
	n.meter.Members.Update(float64(live))
	if base := n.retryBase.Load(); base.MaxTokens > 0 {
		n.shareBudget(*base)
	}
}

// shareBudget brings the part of the second sends that this sidecar pays for in
// step with how many serve its service.
func (n *Node) shareBudget(base retry.Base) {
	own := n.fleet.self().Service
	serving := 0
	for _, r := range n.fleet.live() {
		if r.Service == own && r.Slots > 0 {
			serving++
		}
	}
	share := n.retryFleet.Share(base, serving, n.config.Clock.Since(n.started))
	n.side.WithController(func(_ turn.Turn, d *desk.Controller) { d.SetRetryShare(own, share) })
}

// stop hands over, drains and leaves. It returns when nothing is in flight, or
// at the bound.
func (n *Node) stop(ctx context.Context) {
	events.Emit(n.log, events.NodeLeaving, "node", string(n.config.ID))
	ctx, done := context.WithTimeout(ctx, n.config.DrainTimeout)
	defer done()
	n.state.Store(phaseHandingOver)
	if n.config.Listed {
		n.linger(ctx)
	}
	n.fleet.leave(ctx, false)
	n.callers.SetKeepAlivesEnabled(false)
	if !n.config.Listed {
		n.handOver(ctx)
	}
	n.state.Store(phaseDraining)
	n.side.Do(func(_ turn.Turn, d *desk.Controller) desk.Ops {
		d.Drain()
		return desk.Ops{}
	})
	if !n.config.Listed {
		n.directory.tick(ctx)
	}
	// A connection that never brought a request must not hold up the stop, so
	// what is in flight decides, not the connections.
	go func() { _ = n.callers.Shutdown(ctx) }()
	cut := !n.until(ctx, n.quiet)
	if !n.config.Listed {
		n.books.returnTokens(ctx)
	}
	n.fleet.leave(ctx, true)
	if cut {
		n.reportCut()
		return
	}
	events.Emit(n.log, events.NodeStopped, "node", string(n.config.ID))
}

// linger goes on working until callers have heard that the node is not ready, the
// backend server beside it included: it may go on after the node.
func (n *Node) linger(ctx context.Context) {
	select {
	case <-n.config.Clock.After(n.config.Linger):
	case <-ctx.Done():
	}
}

// handOver waits until the backend servers have announced themselves to other
// nodes. They hear that they should with their next renewal.
func (n *Node) handOver(ctx context.Context) {
	if len(n.fleet.others()) == 0 {
		return
	}
	ctx, done := context.WithTimeout(ctx, handOverTime)
	defer done()
	n.until(ctx, func() bool {
		left := 0
		n.side.WithController(func(_ turn.Turn, d *desk.Controller) { left = len(d.Servers()) })
		return left == 0
	})
}

// handOverTime covers one renewal of an announcement with room to spare.
const handOverTime = 5 * time.Second

func (n *Node) idle() bool {
	held := 0
	n.side.WithController(func(_ turn.Turn, d *desk.Controller) { held = d.ActiveAttempts() })
	return held == 0 && n.relayed.Load() == 0 && n.front.InFlight() == 0 && len(n.side.Running()) == 0
}

// quiet tells that nothing is in flight, and that nothing has been for long
// enough that the last answers have left and no attempt is still on its way.
func (n *Node) quiet() bool {
	now := n.config.Clock.Now()
	if !n.idle() {
		n.busyAt.Store(now.UnixNano())
	}
	quiet := quietTime
	if n.config.Listed {
		quiet = shortQuietTime
	}
	return now.Sub(time.Unix(0, n.busyAt.Load())) >= quiet
}

const (
	// quietTime covers a message's way to the slowest ingress.
	quietTime = time.Second
	// shortQuietTime is the same within one region.
	shortQuietTime = 300 * time.Millisecond
)

// until waits for a condition and reports whether it came before the context
// ended.
func (n *Node) until(ctx context.Context, condition func() bool) bool {
	for !condition() {
		select {
		case <-n.config.Clock.After(deskBeat):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (n *Node) reportCut() {
	events.Emit(n.log, events.NodeCut,
		"requests", n.front.InFlight(), "relayed", n.relayed.Load())
	for id, server := range n.side.Running() {
		events.Emit(n.log, events.NodeCut, "attempt", string(id), "backend-server", server, "outcome", "unknown")
	}
}
