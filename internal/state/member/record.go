package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figwick/figwick/internal/base/ident"
)

// The states of a node in the view of another node.
const (
	// Alive means that no node accuses it.
	Alive State = iota
	// Suspect means accused, but not by enough nodes for it to be dead.
	Suspect
	// Leaving means shutting down: the node finishes its requests in flight.
	Leaving
	// Dead means failed, stopped, or replaced at its address by another node.
	Dead
)

type (
	// State is the state of a node: alive, suspect, leaving or dead.
	State int

	// Record describes one node. Nodes pass it on by gossip.
	Record struct {
		ID       ident.Node
		Address  string
		Zone     ident.Zone
		Instance ident.Instance
		// Incarnation grows with every start of the node.
		Incarnation ident.Incarnation
		// Heartbeat is the version of the record within one incarnation. Only the
		// node itself raises it.
		Heartbeat uint64
		// Leaving reports that the node is shutting down.
		Leaving bool
		// Gone reports that the node has stopped, or that a node with a higher
		// incarnation has its address.
		Gone bool
		// Accusers are the nodes that report this version of the record as
		// failed, sorted.
		Accusers []ident.Node
		// Service is the service of the node's local backend server.
		Service ident.Service
		// Slots is how many requests that server processes at once; zero means
		// that it accepts none.
		Slots int
		// StoreUnreachable reports that the node cannot reach the store.
		StoreUnreachable bool
		// Departures are the last departures that the node has acknowledged, in any of
		// its runs. They do not depend on the version: merging records keeps those of both.
		Departures []Departure
	}

	// entry is a Record with the local state that belongs to it.
	entry struct {
		Record
		// hash is the entry's current share of the Group's digest.
		hash uint64
		// changeSeq is the Group's sequence number at the last change.
		changeSeq uint64
		// learnedFrom is the neighbour that sent the last change. The change is
		// not sent back to it.
		learnedFrom ident.Node
		state       State
		stateSince  time.Time
	}
)

// newer reports whether a has a higher version than b.
func (a *Record) newer(b *Record) bool {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Heartbeat, b.Heartbeat),
	) > 0
}

// sameVersion reports whether a and b have the same incarnation and heartbeat.
func (a *Record) sameVersion(b *Record) bool {
	return a.Incarnation == b.Incarnation && a.Heartbeat == b.Heartbeat
}

// mergeSameVersion adds the flags and accusers of b to a, which has the same
// version, and reports whether a changed.
func (a *Record) mergeSameVersion(b *Record) bool {
	changed := false
	if b.Leaving && !a.Leaving {
		a.Leaving, changed = true, true
	}
	if b.Gone && !a.Gone {
		a.Gone, changed = true, true
	}
	for _, accuser := range b.Accusers {
		changed = a.accuse(accuser) || changed
	}
	return a.addDepartures(b.Departures) || changed
}

// accuse adds an accuser and reports whether it is new. It copies the slice, which
// messages may share.
func (a *Record) accuse(accuser ident.Node) bool {
	at, found := slices.BinarySearch(a.Accusers, accuser)
	if found {
		return false
	}
	a.Accusers = slices.Insert(slices.Clone(a.Accusers), at, accuser)
	return true
}

// digest returns a hash of the record's content, without the zone and the
// instance.
func (a *Record) digest() uint64 {
	d := xxhash.New()
	writeString := func(text string) {
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	writeUint := func(n uint64) {
		var raw [8]byte
		for i := range raw {
			raw[i] = byte(n >> (8 * i))
		}
		_, _ = d.Write(raw[:])
	}
	writeString(string(a.ID))
	writeString(a.Address)
	writeUint(uint64(a.Incarnation))
	writeUint(a.Heartbeat)
	flags := uint64(0)
	if a.Leaving {
		flags |= 1
	}
	if a.Gone {
		flags |= 2
	}
	if a.StoreUnreachable {
		flags |= 4
	}
	writeUint(flags)
	writeString(string(a.Service))
	writeUint(uint64(a.Slots))
	for _, accuser := range a.Accusers {
		writeString(string(accuser))
	}
	for _, left := range a.Departures {
		writeString(string(left.Server))
		writeUint(uint64(left.Incarnation))
		writeUint(left.At)
	}
	return d.Sum64()
}

// wireBytes returns the approximate size of the record on the wire.
func (a *Record) wireBytes() float64 {
	size := recordBytes
	for _, d := range a.Departures {
		size += len(d.Server) + departureBytes
	}
	return float64(size)
}

// String returns the state as it is written in status output and dumps.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[s]
}
