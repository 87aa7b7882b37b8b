package roster

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/ident"
)

// Lease is how long an announcement stays valid without a renewal.
const Lease = 10 * time.Second

// The states that a backend server announces. They are values of the JSON field
// "state".
const (
	// Starting means not ready for requests yet.
	Starting State = "starting"
	// Serving means ready for requests.
	Serving State = "serving"
	// Draining means finishing the requests in flight and accepting no others.
	Draining State = "draining"
)

const (
	maxIDBytes = 128
	// maxServers limits the entries of one node, including those of servers
	// that are gone but not deleted yet.
	maxServers = 4096
	maxSlots   = 1024
)

var (
	// ErrInvalid marks an announcement with an invalid field; see FieldError.
	ErrInvalid = errors.New("roster: invalid announcement")
	// ErrFull marks an announcement of a new server when the roster already
	// holds the maximum number of entries.
	ErrFull = errors.New("roster: too many backend servers")
	// ErrStale marks an announcement that is older than the known state of its
	// server, or than the server that now has its address.
	ErrStale = errors.New("roster: stale announcement")
)

type (
	// State is the state that a backend server announces for itself.
	State string

	// Announcement is a backend server's registration, repeated as its
	// heartbeat.
	Announcement struct {
		ID      ident.Backend `json:"id"`
		Service ident.Service `json:"service"`
		Address string        `json:"address"`
		// Slots is how many requests the server processes at once.
		Slots int `json:"slots"`
		// Incarnation grows with every start of the server.
		Incarnation ident.Incarnation `json:"incarnation"`
		State       State             `json:"state"`
		Zone        ident.Zone        `json:"zone,omitempty"`
		// Sequence grows with each announcement of one incarnation, so that a
		// late one is recognised. Zero means that the server does not number its
		// announcements.
		Sequence uint64 `json:"sequence,omitempty"`
		// StartedUnixMilli is when the server started, in Unix milliseconds, or
		// zero if the server does not report it. Of two servers with one
		// address, the one that started later keeps it.
		StartedUnixMilli uint64 `json:"born,omitempty"`
	}

	// FieldError describes an invalid field of an announcement. Field is its JSON
	// name.
	FieldError struct {
		Field string
		Text  string
	}

	// Change describes how a call changed one server.
	Change struct {
		Server Announcement
		// Gone reports that the server left, moved, was replaced at its address,
		// or that its lease expired.
		Gone bool
		// New reports that the server was unknown or gone, or has a higher
		// incarnation than before.
		New bool
	}

	// Roster holds the backend servers registered with one node. The zero value
	// is ready to use. It is not safe for concurrent use.
	Roster struct {
		servers map[ident.Backend]*entry
	}

	// entry is a server's latest announcement and when its lease expires. An
	// entry that is gone and whose State is Draining has left for good.
	entry struct {
		Announcement
		expires time.Time
		gone    bool
	}
)

// Error returns the field and its constraint, as "field: constraint".
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s", e.Field, e.Text)
}

// Unwrap returns ErrInvalid, which every FieldError matches.
func (e *FieldError) Unwrap() error {
	return ErrInvalid
}

// Check validates the announcement. It returns the parsed address, or a
// *FieldError for the first invalid field.
func (a *Announcement) Check() (netip.AddrPort, error) {
	if a.ID == "" || len(a.ID) > maxIDBytes {
		return netip.AddrPort{}, &FieldError{"id", "must have 1 to 128 bytes"}
	}
	if a.Service == "" {
		return netip.AddrPort{}, &FieldError{"service", "must be set"}
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil || address.Port() == 0 {
		return netip.AddrPort{}, &FieldError{"address", "must be an IP address and port"}
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return netip.AddrPort{}, &FieldError{"slots", "must be 1 to 1024"}
	}
	if a.Incarnation == 0 {
		return netip.AddrPort{}, &FieldError{"incarnation", "must be at least 1"}
	}
	if a.State != Starting && a.State != Serving && a.State != Draining {
		return netip.AddrPort{}, &FieldError{"state", "must be starting, serving or draining"}
	}
	return address, nil
}

// Announce registers a server or renews its lease. The announcement must have
// passed Check. Within one incarnation a draining server stays draining. The
// error matches ErrStale or ErrFull.
func (r *Roster) Announce(now time.Time, a Announcement) (Change, error) {
	e, known := r.servers[a.ID]
	if known {
		if err := e.checkStale(&a); err != nil {
			return Change{}, err
		}
	}
	if !known && len(r.servers) >= maxServers {
		return Change{}, errors.Wrapf(ErrFull, "%d servers are known, the maximum is %d", len(r.servers), maxServers)
	}
	if r.servers == nil {
		r.servers = map[ident.Backend]*entry{}
	}
	change := Change{Server: a, New: !known || e.gone || a.Incarnation > e.Incarnation}
	if known && !change.New && e.State == Draining {
		a.State = Draining
		change.Server.State = Draining
	}
	r.servers[a.ID] = &entry{Announcement: a, expires: now.Add(Lease)}
	return change, nil
}

// checkStale returns an error that matches ErrStale if an announcement is older
// than the entry, and nil otherwise.
func (e *entry) checkStale(a *Announcement) error {
	switch {
	case a.Incarnation < e.Incarnation:
		return errors.Wrapf(ErrStale, "server %s: incarnation %d is older than the known %d", a.ID, a.Incarnation, e.Incarnation)
	case a.Incarnation > e.Incarnation:
		return nil
	case e.gone && e.State == Draining:
		return errors.Wrapf(ErrStale, "server %s: incarnation %d has left", a.ID, a.Incarnation)
	case a.Sequence > 0 && a.Sequence <= e.Sequence:
		return errors.Wrapf(ErrStale, "server %s: sequence %d is not higher than the known %d", a.ID, a.Sequence, e.Sequence)
	default:
		return nil
	}
}

// Supersede marks as gone every other server at the announcement's address,
// because the announcing server has replaced them. If one of them started later,
// it returns an error that matches ErrStale instead. It does nothing if
// StartedUnixMilli is zero. Callers call it before Announce.
func (r *Roster) Supersede(a Announcement) ([]Change, error) {
	if a.StartedUnixMilli == 0 {
		return nil, nil
	}
	var changes []Change
	for id, e := range r.servers {
		if id == a.ID || e.Address != a.Address {
			continue
		}
		if e.StartedUnixMilli > a.StartedUnixMilli {
			return nil, errors.Wrapf(ErrStale, "server %s: %s started later at the same address %s", a.ID, id, a.Address)
		}
		if !e.gone {
			e.gone = true
			changes = append(changes, Change{Server: e.Announcement, Gone: true})
		}
	}
	return changes, nil
}

// Depart marks a server as gone for good, whatever its incarnation. Only an
// announcement with a higher incarnation registers it again. An unknown server
// gets an entry whose incarnation is now, in Unix milliseconds, so that its
// delayed announcements are refused. It reports whether the server was present;
// the Change is zero if the server was unknown or had already left.
func (r *Roster) Depart(now time.Time, id ident.Backend) (Change, bool) {
	e, known := r.servers[id]
	if !known {
		if r.servers == nil {
			r.servers = map[ident.Backend]*entry{}
		}
		r.servers[id] = &entry{
			Announcement: Announcement{ID: id, Incarnation: ident.Incarnation(now.UnixMilli()), State: Draining},
			expires:      now.Add(Lease),
			gone:         true,
		}
		return Change{}, false
	}
	if e.gone && e.State == Draining {
		return Change{}, false
	}
	wasGone := e.gone
	e.gone = true
	e.State = Draining
	return Change{Server: e.Announcement, Gone: true}, !wasGone
}

// RestoreDeparture marks a server of an incarnation as gone for good, unless a higher
// incarnation is known. It restores the departures that an earlier run of this node
// acknowledged, so that delayed announcements of that server are still refused. It
// reports whether the server was present: an announcement that was accepted before the
// departure was known was a delayed one.
func (r *Roster) RestoreDeparture(now time.Time, id ident.Backend, incarnation ident.Incarnation) (Change, bool) {
	e, known := r.servers[id]
	if known && (e.Incarnation > incarnation || e.State == Draining && !e.gone) {
		return Change{}, false
	}
	if r.servers == nil {
		r.servers = map[ident.Backend]*entry{}
	}
	r.servers[id] = &entry{
		Announcement: Announcement{ID: id, Incarnation: incarnation, State: Draining},
		expires:      now.Add(Lease),
		gone:         true,
	}
	if !known || e.gone {
		return Change{}, false
	}
	return Change{Server: e.Announcement, Gone: true}, true
}

// Drain marks a server as draining, as an announcement of this incarnation would, and
// reports whether it is present and was not draining.
func (r *Roster) Drain(id ident.Backend, incarnation ident.Incarnation) (Change, bool) {
	e, known := r.servers[id]
	if !known || e.gone || e.Incarnation != incarnation || e.State == Draining {
		return Change{}, false
	}
	e.State = Draining
	return Change{Server: e.Announcement}, true
}

// Leave marks a server as gone for good and reports whether it was present. It
// ignores an incarnation lower than the known one.
func (r *Roster) Leave(id ident.Backend, incarnation ident.Incarnation) (Change, bool) {
	e, known := r.servers[id]
	if !known || e.gone || incarnation < e.Incarnation {
		return Change{}, false
	}
	e.gone = true
	e.State = Draining
	return Change{Server: e.Announcement, Gone: true}, true
}

// RemoveMoved marks a server as gone because it is registered with another node
// under a higher incarnation, and reports whether it was present. Unlike after
// Leave, the server may register here again with the same incarnation.
func (r *Roster) RemoveMoved(id ident.Backend, incarnation ident.Incarnation) (Change, bool) {
	e, known := r.servers[id]
	if !known || e.gone || incarnation <= e.Incarnation {
		return Change{}, false
	}
	e.gone = true
	return Change{Server: e.Announcement, Gone: true}, true
}

// Tick marks the servers whose lease has expired as gone and returns them, by
// id. It deletes the entries whose lease expired more than 60 leases ago.
func (r *Roster) Tick(now time.Time) []Change {
	const keep = 60 * Lease
	var changes []Change
	for id, e := range r.servers {
		if e.gone && now.Sub(e.expires) > keep {
			delete(r.servers, id)
			continue
		}
		if !e.gone && !now.Before(e.expires) {
			e.gone = true
			changes = append(changes, Change{Server: e.Announcement, Gone: true})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	return changes
}

// Servers returns the latest announcements of the servers that are not gone, by
// id.
func (r *Roster) Servers() []Announcement {
	servers := make([]Announcement, 0, len(r.servers))
	for _, e := range r.servers {
		if !e.gone {
			servers = append(servers, e.Announcement)
		}
	}
	slices.SortFunc(servers, func(a, b Announcement) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}
