package node

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/policy/desk"
	"github.com/figwick/figwick/internal/state/member"
	"github.com/figwick/figwick/internal/state/roster"
	"github.com/figwick/figwick/internal/state/store"
)

const (
	// entryPrefix is where the nodes' entries stand.
	entryPrefix = "figwick/nodes/"
	// entryLease is how long an entry outlives its node.
	entryLease = 30 * time.Second
	// renewEvery leaves room for two lost renewals.
	renewEvery = 9 * time.Second
	// retryEvery is the wait after a call that failed, so that an entry that has
	// lapsed while the store was away is back within two seconds of its return.
	retryEvery = 1500 * time.Millisecond
	// recallWithin is how long a node that has just started waits for the store to
	// tell what its earlier runs acknowledged.
	recallWithin = time.Second
	// announceWait bounds how long an announcement waits for that, and an
	// acknowledgement for being kept: the backend server waits a second.
	announceWait = 400 * time.Millisecond
	// mostLeft is how many departures are kept.
	mostLeft = 4
	// lonelyEvery is how often the entries are read while no other node is
	// known.
	lonelyEvery = 2 * time.Second
)

type (
	// entry keeps the node's entry in the store, and finds other nodes by
	// theirs.
	entry struct {
		node  *Node
		store *countedStore
		lease store.Lease
		// listed tells that the entry stands under the lease.
		listed bool
		// read tells that the others' entries were read once.
		read    bool
		renewAt time.Time
		// writing lets one write of the entry at a time be made.
		writing sync.Mutex
		version store.Version
		// left are the backend servers whose leaving was acknowledged here, in
		// this run or an earlier one.
		left []departure
		// recalled is closed once it is known what earlier runs acknowledged, or
		// the store has not told it in time.
		recalled   chan struct{}
		recallOnce sync.Once
	}

	// listing is the value of an entry.
	listing struct {
		Address     string            `json:"address"`
		Zone        ident.Zone        `json:"zone"`
		Instance    ident.Instance    `json:"instance"`
		Incarnation ident.Incarnation `json:"incarnation"`
		Left        []departure       `json:"left,omitempty"`
	}

	// departure is a backend server of an incarnation that left.
	departure struct {
		Server      ident.Backend     `json:"backend-server"`
		Incarnation ident.Incarnation `json:"incarnation"`
	}
)

// keep registers the node and renews its lease until the context ends.
func (e *entry) keep(ctx context.Context) error {
	for {
		wait := e.step(ctx)
		select {
		case <-e.node.config.Clock.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// step does what is due and returns how long to wait for the next.
func (e *entry) step(ctx context.Context) time.Duration {
	now := e.node.config.Clock.Now()
	err := e.renew(ctx, now)
	if err == nil && (!e.read || len(e.node.fleet.live()) < 2) {
		err = e.find(ctx)
	}
	switch {
	case err != nil:
		return retryEvery
	case len(e.node.fleet.live()) < 2:
		return lonelyEvery
	default:
		return max(0, e.renewAt.Sub(e.node.config.Clock.Now()))
	}
}

// renew brings the entry and its lease up to date.
func (e *entry) renew(ctx context.Context, now time.Time) error {
	if e.listed && now.Before(e.renewAt) {
		return nil
	}
	if e.listed {
		err := e.store.KeepAlive(ctx, e.lease)
		if err == nil {
			e.renewAt = now.Add(renewEvery)
			return nil
		}
		if !errors.Is(err, store.ErrLeaseLost) {
			return err
		}
		events.Emit(e.node.log, events.EntryLost, "lease", uint64(e.lease))
		e.listed, e.lease = false, 0
	}
	if err := e.register(ctx); err != nil {
		return err
	}
	e.recall(nil)
	e.listed = true
	e.renewAt = now.Add(renewEvery)
	return nil
}

// register writes the entry under a new lease, over what stands there: only this
// node writes this key.
func (e *entry) register(ctx context.Context) error {
	if e.lease == 0 {
		lease, err := e.store.Grant(ctx, entryLease)
		if err != nil {
			return err
		}
		e.lease = lease
	}
	e.writing.Lock()
	defer e.writing.Unlock()
	present, err := e.write(ctx)
	if errors.Is(err, store.ErrConflict) {
		if present.Version == 0 {
			if present, err = e.store.Get(ctx, e.key()); err != nil {
				return err
			}
		}
		e.version = present.Version
		e.recallFrom(present)
		_, err = e.write(ctx)
	}
	if errors.Is(err, store.ErrLeaseLost) {
		e.lease = 0
	}
	return err
}

func (e *entry) key() string {
	return entryPrefix + string(e.node.config.ID)
}

// write puts the entry over the version that is known. The writing mutex is held.
func (e *entry) write(ctx context.Context) (store.Item, error) {
	self := e.node.fleet.self()
	text, err := json.Marshal(listing{
		Address: self.Address, Zone: self.Zone, Instance: self.Instance, Incarnation: self.Incarnation, Left: e.left,
	})
	if err != nil {
		return store.Item{}, errors.Wrap(err, "node: encode entry")
	}
	item, err := e.store.CAS(ctx, e.key(), text, e.version, e.lease)
	if err == nil {
		e.version = item.Version
	}
	return item, err
}

// keepDeparture keeps that a backend server has left before that is acknowledged,
// so that the acknowledgement binds the next run of this node too.
func (e *entry) keepDeparture(d departure) {
	e.writing.Lock()
	defer e.writing.Unlock()
	if slices.Contains(e.left, d) {
		return
	}
	e.left = append(e.left, d)
	e.left = e.left[max(0, len(e.left)-mostLeft):]
	if e.version == 0 || e.store.away.Load() {
		return
	}
	ctx, done := context.WithTimeout(context.Background(), announceWait)
	defer done()
	if _, err := e.write(ctx); err != nil {
		events.Emit(e.node.log, events.DepartureUnkept, "backend-server", string(d.Server), "error", err)
	}
}

// recallFrom takes the departures that the entry of an earlier run has kept.
func (e *entry) recallFrom(present store.Item) {
	var l listing
	if err := json.Unmarshal(present.Value, &l); err != nil {
		events.Emit(e.node.log, events.EntryBroken, "key", present.Key, "error", err)
		return
	}
	e.left = append(l.Left, e.left...)
	e.recall(l.Left)
}

// recall lets announcements in, now that departures are known.
func (e *entry) recall(left []departure) {
	e.node.side.WithController(func(t turn.Turn, d *desk.Controller) {
		for _, l := range left {
			d.RestoreDeparture(t, l.Server, l.Incarnation)
		}
	})
	e.recallOnce.Do(func() { close(e.recalled) })
}

// awaitRecall waits a moment until it is known what earlier runs acknowledged.
func (e *entry) awaitRecall() error {
	select {
	case <-e.recalled:
		return nil
	case <-e.node.config.Clock.After(announceWait):
		if e.node.config.Clock.Since(e.node.started) > recallWithin {
			e.recall(nil)
			return nil
		}
		return errors.Wrap(roster.ErrStale, "node: not known yet what an earlier run has acknowledged")
	}
}

// find reads the entries of all nodes.
func (e *entry) find(ctx context.Context) error {
	items, err := e.store.List(ctx, entryPrefix)
	if err != nil {
		return err
	}
	e.read = true
	var records []member.Record
	for _, i := range items {
		id := ident.Node(i.Key[len(entryPrefix):])
		var l listing
		if err := json.Unmarshal(i.Value, &l); err != nil || l.Address == "" {
			events.Emit(e.node.log, events.EntryBroken, "key", i.Key, "error", err)
			continue
		}
		if id != e.node.config.ID {
			records = append(records, member.Record{
				ID: id, Address: l.Address, Zone: l.Zone, Instance: l.Instance, Incarnation: l.Incarnation,
			})
		}
	}
	e.node.fleet.introduce(records)
	return nil
}
