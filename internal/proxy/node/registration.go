package node

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
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
	// renewInterval is the interval between lease renewals. Two in a row may be lost
	// before the lease expires.
	renewInterval = 9 * time.Second
	// retryInterval is the wait after a failed store call. An entry that expired
	// while the store was unreachable is back within two seconds of its return.
	retryInterval = 1500 * time.Millisecond
	// restoreTimeout is how long after its start a node waits for the store to
	// return the departures that its earlier runs acknowledged.
	restoreTimeout = time.Second
	// minRecheckSpread and recheckSpread are the time over which the nodes check their
	// entries after the store has come back from an older copy: at least the former, and
	// the latter for each node. That is below the rates of calls that stores allow.
	minRecheckSpread = 500 * time.Millisecond
	recheckSpread    = time.Millisecond
	// aloneInterval is the interval at which the entries are read while no other
	// node is known.
	aloneInterval = 2 * time.Second
)

type (
	// registration maintains the node's entry in the store, under a lease, and
	// discovers other nodes from their entries.
	registration struct {
		node  *Node
		store *countedStore
		// recheck receives a value when the entry may have been lost with the store's
		// latest data. It holds at most one.
		recheck chan struct{}
		// save receives a value when departures are to be stored at once. It holds at most
		// one.
		save chan struct{}
		// registered reports that the entry is in the store under the lease.
		registered bool
		// entriesRead reports that the other nodes' entries have been read at least once.
		entriesRead bool
		renewAt     time.Time
		// writing holds a value while the entry is being written, one write at a time, or
		// while lease or version are used. A write may take as long as the store's calls.
		writing chan struct{}
		lease   store.Lease
		version store.Version
		// unsaved reports that the stored entry may lack some of the departures of the
		// node's record.
		unsaved atomic.Bool
		// restored is closed once the departures acknowledged by earlier runs have
		// been restored, or the wait for them has timed out.
		restored    chan struct{}
		restoreOnce sync.Once
	}

	// entryValue is the JSON value of an entry.
	entryValue struct {
		Address     string             `json:"address"`
		Zone        ident.Zone         `json:"zone"`
		Instance    ident.Instance     `json:"instance"`
		Incarnation ident.Incarnation  `json:"incarnation"`
		Departures  []member.Departure `json:"left,omitempty"`
	}
)

func newRegistration(n *Node, watched *countedStore) *registration {
	return &registration{
		node: n, store: watched,
		recheck: make(chan struct{}, 1), save: make(chan struct{}, 1), writing: make(chan struct{}, 1),
		restored: make(chan struct{}),
	}
}

// run registers the node and renews its lease until the context ends. It leaves
// the entry to expire.
func (e *registration) run(ctx context.Context) error {
	for {
		wait := e.step(ctx)
		select {
		case <-e.node.config.Clock.After(wait):
		case <-e.recheck:
			e.spreadRecheck(ctx)
		case <-e.save:
			e.renewAt = time.Time{}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// recheckSoon makes run renew the lease soon, whenever it is due, and write the entry again if
// the lease is lost. It doesn't block.
func (e *registration) recheckSoon() {
	select {
	case e.recheck <- struct{}{}:
	default:
	}
}

// saveSoon makes run store the departures at once. It doesn't block.
func (e *registration) saveSoon() {
	select {
	case e.save <- struct{}{}:
	default:
	}
}

// spreadRecheck waits for a random part of the time over which the nodes check their entries,
// unless departures are to be stored, and makes the renewal due.
func (e *registration) spreadRecheck(ctx context.Context) {
	spread := max(minRecheckSpread, time.Duration(len(e.node.fleet.live()))*recheckSpread)
	select {
	case <-e.node.config.Clock.After(time.Duration(e.node.config.Random.Float64() * float64(spread))):
	case <-e.save:
	case <-ctx.Done():
	}
	e.renewAt = time.Time{}
}

// step renews the entry and reads the other nodes' entries as far as either is
// due. It returns how long to wait before the next step.
func (e *registration) step(ctx context.Context) time.Duration {
	now := e.node.config.Clock.Now()
	err := e.renew(ctx, now)
	if err == nil && (!e.entriesRead || len(e.node.fleet.live()) < 2) {
		err = e.discover(ctx)
	}
	if err == nil && !e.admitting() {
		asking, done := context.WithTimeout(ctx, neighbourTimeout)
		e.node.fleet.askNeighbours(asking)
		done()
		e.admitAnnouncements()
	}
	switch {
	case err != nil:
		return retryInterval
	case len(e.node.fleet.live()) < 2:
		return aloneInterval
	default:
		return max(0, e.renewAt.Sub(e.node.config.Clock.Now()))
	}
}

// renew renews the lease if that is due, and registers the entry again if the
// lease was lost. It writes departures that could not be persisted before.
func (e *registration) renew(ctx context.Context, now time.Time) error {
	if e.registered && now.Before(e.renewAt) {
		return nil
	}
	if e.registered {
		lease := e.currentLease()
		err := e.store.KeepAlive(ctx, lease)
		if err == nil {
			err = e.saveDepartures(ctx)
		}
		if err == nil {
			e.renewAt = now.Add(renewInterval)
			return nil
		}
		if !errors.Is(err, store.ErrLeaseLost) {
			return err
		}
		events.Emit(e.node.log, events.EntryLost, "lease", lease.ID, "era", uint64(lease.Era))
		e.registered = false
		e.setLease(store.Lease{})
	}
	if err := e.register(ctx); err != nil {
		return err
	}
	e.registered = true
	e.renewAt = now.Add(renewInterval)
	return nil
}

// register writes the entry under a new lease. It overwrites the entry of an
// earlier run, as only this node writes this key, but restores the departures from
// it first.
func (e *registration) register(ctx context.Context) error {
	if e.currentLease().IsZero() {
		lease, err := e.store.Grant(ctx, entryLease)
		if err != nil {
			return err
		}
		e.setLease(lease)
	}
	if err := e.beginWrite(ctx); err != nil {
		return err
	}
	defer e.endWrite()
	err := e.replace(ctx)
	if errors.Is(err, store.ErrLeaseLost) {
		e.lease = store.Lease{}
	}
	return err
}

// replace writes the entry over whatever is stored: nothing, this run's entry or that of an
// earlier run, from which it restores the departures first. It is called between beginWrite and
// endWrite.
func (e *registration) replace(ctx context.Context) error {
	present, err := e.write(ctx)
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	if present.Version.IsZero() {
		present, err = e.store.Get(ctx, e.key())
	} else {
		err = nil
	}
	switch {
	case err == nil:
		e.restoreFrom(present)
	case !errors.Is(err, store.ErrNotFound):
		return err
	}
	e.version = present.Version
	_, err = e.write(ctx)
	return err
}

// beginWrite waits until no write of the entry is under way, or the context ends.
func (e *registration) beginWrite(ctx context.Context) error {
	select {
	case e.writing <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Wrap(context.Cause(ctx), "node: wait for another write of the entry")
	}
}

func (e *registration) endWrite() {
	<-e.writing
}

func (e *registration) currentLease() store.Lease {
	e.writing <- struct{}{}
	defer e.endWrite()
	return e.lease
}

func (e *registration) setLease(lease store.Lease) {
	e.writing <- struct{}{}
	defer e.endWrite()
	e.lease = lease
}

func (e *registration) key() string {
	return entryPrefix + string(e.node.config.ID)
}

// write stores the entry by compare-and-swap on the last known version. On a
// conflict it returns the item that is stored. It is called between beginWrite and endWrite.
func (e *registration) write(ctx context.Context) (store.Item, error) {
	e.unsaved.Store(false)
	self := e.node.fleet.self()
	text, err := json.Marshal(entryValue{
		Address: self.Address, Zone: self.Zone, Instance: self.Instance, Incarnation: self.Incarnation, Departures: self.Departures,
	})
	if err != nil {
		return store.Item{}, errors.Wrap(err, "node: encode entry")
	}
	item, err := e.store.CAS(ctx, e.key(), text, e.version, e.lease)
	if err != nil {
		e.unsaved.Store(true)
		return item, err
	}
	e.version = item.Version
	return item, nil
}

// saveDepartures writes the entry again if the stored one may lack departures.
func (e *registration) saveDepartures(ctx context.Context) error {
	if !e.unsaved.Load() {
		return nil
	}
	if err := e.beginWrite(ctx); err != nil {
		return err
	}
	defer e.endWrite()
	return e.replace(ctx)
}

// restoreFrom restores the departures from the entry of an earlier run. Those of this run are
// known; a server among them may have been started anew since.
func (e *registration) restoreFrom(present store.Item) {
	var l entryValue
	if err := json.Unmarshal(present.Value, &l); err != nil {
		events.Emit(e.node.log, events.EntryBroken, "key", present.Key, "error", err)
		return
	}
	known := e.node.fleet.self().Departures
	older := slices.DeleteFunc(l.Departures, func(d member.Departure) bool { return slices.Contains(known, d) })
	e.node.fleet.addDepartures(older)
	if l.Instance != e.node.instance {
		e.restoreDepartures(older)
	}
}

// admitAnnouncements admits announcements from now on.
func (e *registration) admitAnnouncements() {
	e.restoreOnce.Do(func() { close(e.restored) })
}

// admitting reports whether announcements are admitted.
func (e *registration) admitting() bool {
	select {
	case <-e.restored:
		return true
	default:
		return false
	}
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
			e.admitAnnouncements()
			return nil
		}
		return errors.Wrap(roster.ErrStale, "node: not known yet what an earlier run has acknowledged")
	}
}

// checkAddress returns an error unless an address has a host and a port that can be dialed.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrapf(err, "address %q", address)
	}
	if number, err := strconv.ParseUint(port, 10, 16); host == "" || err != nil || number == 0 {
		return errors.Newf("address %q is not a host and a port from 1 to 65535", address)
	}
	return nil
}

// discover reads the entries of all nodes and adds the other nodes to the fleet's
// membership. It logs and skips entries that it can't decode, or whose address can't
// be dialed.
func (e *registration) discover(ctx context.Context) error {
	items, err := e.store.List(ctx, entryPrefix)
	if err != nil {
		return err
	}
	e.entriesRead = true
	var records []member.Record
	for _, i := range items {
		id := ident.Node(i.Key[len(entryPrefix):])
		var l entryValue
		err := json.Unmarshal(i.Value, &l)
		if err == nil {
			err = checkAddress(l.Address)
		}
		if err != nil {
			events.Emit(e.node.log, events.EntryBroken, "key", i.Key, "error", err)
			continue
		}
		if id != e.node.config.ID {
			records = append(records, member.Record{
				ID: id, Address: l.Address, Zone: l.Zone, Instance: l.Instance, Incarnation: l.Incarnation,
			})
		}
	}
	e.node.fleet.addRecords(records)
	return nil
}
