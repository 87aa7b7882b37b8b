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
	// entryPrefix is the key prefix of the nodes' entries in the store.
	entryPrefix = "figwick/nodes/"
	// entryLease is the TTL of an entry: how long it remains after its node has
	// stopped renewing it.
	entryLease = 30 * time.Second
	// renewEvery is the interval between lease renewals. Two in a row may be lost
	// before the lease expires.
	renewEvery = 9 * time.Second
	// retryEvery is the wait after a failed store call. An entry that expired
	// while the store was unreachable is back within two seconds of its return.
	retryEvery = 1500 * time.Millisecond
	// recallWithin is how long after its start a node waits for the store to
	// return the departures that its earlier runs acknowledged.
	recallWithin = time.Second
	// announceWait is how long an announcement waits for those departures, and how
	// long an acknowledgement waits for its departure to be persisted. The backend
	// server waits one second for both.
	announceWait = 400 * time.Millisecond
	// mostLeft is the largest number of departures that an entry holds; the
	// oldest are dropped.
	mostLeft = 4
	// lonelyEvery is the interval at which the entries are read while no other
	// node is known.
	lonelyEvery = 2 * time.Second
)

type (
	// entry maintains the node's entry in the store, under a lease, and discovers
	// other nodes from their entries.
	entry struct {
		node  *Node
		store *countedStore
		lease store.Lease
		// listed tells that the entry is in the store under the lease.
		listed bool
		// read tells that the other nodes' entries have been read at least once.
		read    bool
		renewAt time.Time
		// writing serializes writes of the entry and guards version and left.
		writing sync.Mutex
		version store.Version
		// left holds the departures of backend servers that this node has
		// acknowledged, in this run or an earlier one.
		left []departure
		// recalled is closed once the departures acknowledged by earlier runs have
		// been restored, or the wait for the store has timed out.
		recalled   chan struct{}
		recallOnce sync.Once
	}

	// listing is the JSON value of an entry.
	listing struct {
		Address     string            `json:"address"`
		Zone        ident.Zone        `json:"zone"`
		Instance    ident.Instance    `json:"instance"`
		Incarnation ident.Incarnation `json:"incarnation"`
		Left        []departure       `json:"left,omitempty"`
	}

	// departure records that a backend server left with the given incarnation.
	// Announcements with the same or a lower incarnation are stale.
	departure struct {
		Server      ident.Backend     `json:"backend-server"`
		Incarnation ident.Incarnation `json:"incarnation"`
	}
)

// keep registers the node and renews its lease until the context ends. It leaves
// the entry to expire.
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

// step renews the entry and reads the other nodes' entries as far as either is
// due. It returns how long to wait before the next step.
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

// renew renews the lease if that is due, and registers the entry again if the
// lease was lost.
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

// register writes the entry under a new lease. It overwrites the entry of an
// earlier run, as only this node writes this key, but restores the departures from
// it first.
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

// write stores the entry by compare-and-swap on the last known version. On a
// conflict it returns the item that is stored. The writing mutex is held.
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

// keepDeparture persists a departure in the node's entry before it is
// acknowledged to the backend server. After a restart, the node then still rejects
// stale announcements of that server. If the store is unreachable or the write
// fails, the departure is only kept in memory, for the next write.
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

// recallFrom restores the departures from the entry of an earlier run. The writing
// mutex is held.
func (e *entry) recallFrom(present store.Item) {
	var l listing
	if err := json.Unmarshal(present.Value, &l); err != nil {
		events.Emit(e.node.log, events.EntryBroken, "key", present.Key, "error", err)
		return
	}
	e.left = append(l.Left, e.left...)
	e.recall(l.Left)
}

// recall restores departures in the sidecar's controller and admits announcements
// from now on.
func (e *entry) recall(left []departure) {
	e.node.side.WithController(func(t turn.Turn, d *desk.Controller) {
		for _, l := range left {
			d.RestoreDeparture(t, l.Server, l.Incarnation)
		}
	})
	e.recallOnce.Do(func() { close(e.recalled) })
}

// awaitRecall waits up to announceWait until the departures of earlier runs have
// been restored. It returns roster.ErrStale if they have not. Once recallWithin has
// passed since the start of the node, it gives up and admits announcements without
// them.
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

// find reads the entries of all nodes and adds the other nodes to the fleet's
// membership. It logs and skips entries that it can't decode.
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
