package node

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/state/roster"
	"github.com/figwick/figwick/internal/state/store"
)

// persistDeparture persists a departure in the node's entry before it is
// acknowledged to the backend server. After a restart, the node then still rejects
// stale announcements of that server. If the store is unreachable or the write does
// not succeed within announceTimeout, the departure is kept in memory and written
// soon after.
func (e *registration) persistDeparture(d departure) {
	if !e.addDeparture(d) {
		return
	}
	if e.store.unreachable.Load() {
		e.recheckSoon()
		return
	}
	ctx, done := context.WithTimeout(context.Background(), announceTimeout)
	defer done()
	if err := e.writeRegistered(ctx); err != nil {
		events.Emit(e.node.log, events.DepartureUnkept, "backend-server", string(d.Server), "error", err)
		e.recheckSoon()
	}
}

// writeRegistered writes the entry if it has been written before. Otherwise run writes it.
func (e *registration) writeRegistered(ctx context.Context) error {
	if err := e.beginWrite(ctx); err != nil {
		return err
	}
	defer e.endWrite()
	if e.version.IsZero() {
		e.recheckSoon()
		return nil
	}
	_, err := e.write(ctx)
	return err
}

// saveDepartures writes the entry again if the stored one may lack departures.
func (e *registration) saveDepartures(ctx context.Context) error {
	if !e.hasUnsaved() {
		return nil
	}
	if err := e.beginWrite(ctx); err != nil {
		return err
	}
	defer e.endWrite()
	return e.replace(ctx)
}

func (e *registration) currentDepartures() []departure {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.departures)
}

// noteSaved records that the given departures are stored. Others may have been added since.
func (e *registration) noteSaved(departures []departure) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.unsaved = !slices.Equal(departures, e.departures)
}

func (e *registration) hasUnsaved() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.unsaved
}

// addDeparture adds a departure and reports whether it is a new one.
func (e *registration) addDeparture(d departure) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if slices.Contains(e.departures, d) {
		return false
	}
	e.departures = append(e.departures, d)
	e.departures = e.departures[max(0, len(e.departures)-maxDepartures):]
	e.unsaved = true
	return true
}

// restoreFrom restores the departures from the entry of an earlier run. Those of this run are
// known; a server among them may have been started anew since.
func (e *registration) restoreFrom(present store.Item) {
	var l entryValue
	if err := json.Unmarshal(present.Value, &l); err != nil {
		events.Emit(e.node.log, events.EntryBroken, "key", present.Key, "error", err)
		return
	}
	older := e.addOlder(l.Departures)
	if l.Instance != e.node.instance {
		e.restoreDepartures(older)
	}
}

// addOlder adds departures that are older than those known, and returns the new ones.
func (e *registration) addOlder(stored []departure) []departure {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	older := slices.DeleteFunc(slices.Clone(stored), func(d departure) bool { return slices.Contains(e.departures, d) })
	e.departures = slices.Concat(older, e.departures)
	e.departures = e.departures[max(0, len(e.departures)-maxDepartures):]
	return older
}

// restoreDepartures restores departures in the sidecar's controller and admits
// announcements from now on.
func (e *registration) restoreDepartures(left []departure) {
	e.node.side.WithController(func(t eval.Context, d *admit.Controller) {
		for _, l := range left {
			d.RestoreDeparture(t, l.Server, l.Incarnation)
		}
	})
	e.restoreOnce.Do(func() { close(e.restored) })
}

// awaitRestore waits up to announceTimeout until the departures of earlier runs have
// been restored. It returns roster.ErrStale if they have not. Once restoreTimeout has
// passed since the start of the node, it gives up and admits announcements without
// them.
func (e *registration) awaitRestore() error {
	select {
	case <-e.restored:
		return nil
	case <-e.node.config.Clock.After(announceTimeout):
		if e.node.config.Clock.Since(e.node.started) > restoreTimeout {
			e.restoreDepartures(nil)
			return nil
		}
		return errors.Wrap(roster.ErrStale, "node: not known yet what an earlier run has acknowledged")
	}
}
