package node

import (
	"context"
	"sync"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/state/member"
)

const (
	// announceTimeout is how long an announcement waits for the departures that earlier runs
	// acknowledged, and how long an acknowledgement waits for its departure to be persisted.
	// The backend server waits one second for both.
	announceTimeout = 400 * time.Millisecond
	// neighbourTimeout is how long a node waits after its start for its neighbours to return
	// those departures. It leaves time for the store within announceTimeout.
	neighbourTimeout = announceTimeout / 2
)

// persistDeparture persists a departure in the node's entry and at its neighbours before it
// is acknowledged to the backend server. After a restart, the node then still rejects stale
// announcements of that server, also if the store has come back from an older copy or is
// away. If the write fails or the entry must be written anew first, it waits for that while
// the store is reachable.
func (e *registration) persistDeparture(server ident.Backend, incarnation ident.Incarnation) {
	ctx, done := context.WithTimeout(context.Background(), announceTimeout)
	defer done()
	service, slots := e.node.serving()
	spread := e.node.fleet.addDeparture(ctx, member.Departure{
		Server: server, Incarnation: incarnation, At: uint64(e.node.config.Clock.Now().UnixMilli()),
	}, service, slots)
	if spread == nil {
		return
	}
	e.unsaved.Store(true)
	stored, err := e.writeOnce(ctx)
	if err != nil {
		events.Emit(e.node.log, events.DepartureUnkept, "backend-server", string(server), "error", err)
	}
	if !stored {
		e.saveSoon()
		e.node.waitUntil(ctx, func() bool { return e.saved() || e.store.unreachable.Load() })
	}
	<-spread
}

// saved reports whether the stored entry has all departures. It doesn't wait for a write
// that is under way.
func (e *registration) saved() bool {
	select {
	case e.writing <- struct{}{}:
	default:
		return false
	}
	defer e.endWrite()
	return !e.unsaved.Load()
}

// writeOnce writes the entry and reports whether it is stored. It does not try while the store is
// unreachable or the node has no entry.
func (e *registration) writeOnce(ctx context.Context) (bool, error) {
	if err := e.beginWrite(ctx); err != nil {
		return false, err
	}
	defer e.endWrite()
	if e.version.IsZero() || e.store.unreachable.Load() {
		return false, nil
	}
	_, err := e.write(ctx)
	return err == nil, err
}

// learnDepartures restores departures that an earlier run of this node has acknowledged and
// that other nodes know of. The entry is written with them soon. It doesn't wait for the store.
func (e *registration) learnDepartures(learned []member.Departure) {
	e.restoreDepartures(learned)
	e.unsaved.Store(true)
	e.recheckSoon()
}

// restoreDepartures restores departures in the sidecar's controller.
func (e *registration) restoreDepartures(left []member.Departure) {
	for _, l := range left {
		e.node.side.Do(func(t eval.Context, d *admit.Controller) admit.Ops {
			return d.RestoreDeparture(t, l.Server, l.Incarnation)
		})
		events.Emit(e.node.log, events.DepartureRestored, "backend-server", string(l.Server), "incarnation", uint64(l.Incarnation))
	}
}

// addDeparture adds a departure to the node's own record, together with what is served without
// that server, and gossips both at once. The channel is closed when a neighbour has them, or
// when the context ends or none answers. It is nil if the departure is known already.
func (f *fleet) addDeparture(ctx context.Context, d member.Departure, service ident.Service, slots int) <-chan struct{} {
	f.mutex.Lock()
	for _, known := range f.group.Self().Departures {
		if known.Server == d.Server && known.Incarnation >= d.Incarnation {
			f.mutex.Unlock()
			return nil
		}
	}
	f.group.AddDepartures(f.node.config.Clock.Now(), []member.Departure{d})
	f.group.SetService(f.node.turn(), service, slots)
	exchanges := f.group.OwnRecordExchanges()
	f.publishSidecars()
	f.mutex.Unlock()
	return f.awaitFirst(ctx, exchanges)
}

// awaitFirst starts exchanges and returns a channel that is closed when the first has been
// answered, when all have failed, or when the context ends.
func (f *fleet) awaitFirst(ctx context.Context, exchanges []member.Exchange) <-chan struct{} {
	ended, end := context.WithCancel(ctx)
	var pending sync.WaitGroup
	for _, x := range exchanges {
		pending.Go(func() {
			// The exchange outlives the wait for it.
			if f.exchange(context.WithoutCancel(ctx), x) {
				end()
			}
		})
	}
	go func() {
		pending.Wait()
		end()
	}()
	return ended.Done()
}

// addDepartures adds departures of earlier runs to the node's own record.
func (f *fleet) addDepartures(departures []member.Departure) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.group.AddDepartures(f.node.config.Clock.Now(), departures)
}

// askNeighbours sends the node's own record to its neighbours, which answer with the
// departures that earlier runs of the node have acknowledged. It waits until all have
// answered, or until the context ends.
func (f *fleet) askNeighbours(ctx context.Context) {
	f.mutex.Lock()
	exchanges := f.group.OwnRecordExchanges()
	f.mutex.Unlock()
	var pending sync.WaitGroup
	for _, x := range exchanges {
		pending.Go(func() { f.exchange(ctx, x) })
	}
	// A write to a silent peer may block for longer.
	answered, done := context.WithCancel(ctx)
	go func() {
		pending.Wait()
		done()
	}()
	<-answered.Done()
}
