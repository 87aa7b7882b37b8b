package index

import (
	"cmp"
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

const (
	// OwnerCount is the number of nodes that own the directory of each service.
	OwnerCount = 3
	// PutInterval is the longest time between two puts or touches of a record.
	PutInterval = 5 * time.Second
	// FreshAge is the age below which a record counts as fresh. Owners do not
	// send records again to a reader that has them, as long as all are fresh. It is
	// above PutInterval, so that a record that is put on time stays fresh.
	FreshAge = PutInterval + 2*time.Second
	// Lease is the time after which a record expires unless it is put or touched
	// again.
	Lease = 15 * time.Second
)

// The states of a backend server.
const (
	// InService servers receive requests.
	InService State = iota + 1
	// Ejected servers are alive but held out as unhealthy. Each takes up one
	// floor token.
	Ejected
	// Leaving servers drain: they finish their requests and get no new ones.
	Leaving
)

type (
	// State is the state of a backend server.
	State int

	// BackendEntry is one backend server in a Record.
	BackendEntry struct {
		ID          ident.Backend
		Incarnation ident.Incarnation
		State       State
	}

	// Record lists the backend servers of one service at one node.
	Record struct {
		Service ident.Service
		Node    ident.Node
		// Address is the address at which other nodes reach the node.
		Address string
		Zone    ident.Zone
		// Slots is the number of requests that the node's backend servers of the
		// service can run at once. It is 0 while the node is leaving.
		Slots int
		// Leaving reports that the node itself is shutting down.
		Leaving  bool
		Backends []BackendEntry
	}

	// Listing is a Record as the directory returns it. The counts include only
	// backend servers that no other node has claimed with a higher incarnation.
	Listing struct {
		Record
		// Age is the time since the record was put or touched.
		Age time.Duration
		// Alive is InService plus Ejected.
		Alive     int
		InService int
		Ejected   int
		Draining  int
	}

	// Index is the directory of the services that a node owns. The zero value
	// is ready. It is not safe for concurrent use.
	Index struct {
		services map[ident.Service]*service
	}

	service struct {
		records map[ident.Node]*storedRecord
		// claims holds the winning claim of each backend server.
		claims map[ident.Backend]claim
	}

	storedRecord struct {
		Record
		// put is the time of the last put or touch.
		put    time.Time
		digest uint64
	}

	// claim is a node's statement that it has a backend server.
	claim struct {
		node        ident.Node
		incarnation ident.Incarnation
	}
)

// Put stores a record in place of the node's earlier one. A record without backend
// servers removes it. Put returns the servers of the record that have moved to
// another node, with the incarnations they have there and no state.
func (x *Index) Put(now time.Time, r Record) []BackendEntry {
	s := x.service(r.Service)
	s.expire(now)
	if len(r.Backends) == 0 {
		delete(s.records, r.Node)
		s.resolveClaims()
		return nil
	}
	s.records[r.Node] = &storedRecord{Record: r, put: now, digest: r.Digest()}
	s.resolveClaims()
	var moved []BackendEntry
	for _, backend := range r.Backends {
		if winner := s.claims[backend.ID]; winner.node != r.Node && winner.incarnation > backend.Incarnation {
			moved = append(moved, BackendEntry{ID: backend.ID, Incarnation: winner.incarnation})
		}
	}
	return moved
}

// Touch renews an unchanged record without sending it again. It reports false if
// the stored record has another digest or does not exist; the node must then put
// the record.
func (x *Index) Touch(now time.Time, name ident.Service, node ident.Node, digest uint64) bool {
	s := x.service(name)
	s.expire(now)
	stored, known := s.records[node]
	if !known || stored.digest != digest {
		return false
	}
	stored.put = now
	return true
}

// Digest returns the combined digest of a service's records, 0 if there are none,
// and reports whether all of them are fresh. The digest does not depend on the
// records' ages.
func (x *Index) Digest(now time.Time, name ident.Service) (digest uint64, fresh bool) {
	s, known := x.services[name]
	if !known {
		return 0, true
	}
	s.expire(now)
	fresh = true
	for _, stored := range s.records {
		digest ^= stored.digest
		fresh = fresh && now.Sub(stored.put) < FreshAge
	}
	return digest, fresh
}

// Get returns the records of a service, sorted by node.
func (x *Index) Get(now time.Time, name ident.Service) []Listing {
	s, known := x.services[name]
	if !known {
		return nil
	}
	s.expire(now)
	listings := make([]Listing, 0, len(s.records))
	for _, stored := range s.records {
		listings = append(listings, s.listing(now, stored))
	}
	slices.SortFunc(listings, func(a, b Listing) int { return cmp.Compare(a.Node, b.Node) })
	return listings
}

// Services returns the services that have records, sorted by name.
func (x *Index) Services(now time.Time) []ident.Service {
	var names []ident.Service
	for name, s := range x.services {
		s.expire(now)
		if len(s.records) == 0 {
			delete(x.services, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// service returns a service's records and creates them if necessary.
func (x *Index) service(name ident.Service) *service {
	if x.services == nil {
		x.services = map[ident.Service]*service{}
	}
	s, known := x.services[name]
	if !known {
		s = &service{records: map[ident.Node]*storedRecord{}}
		x.services[name] = s
	}
	return s
}

// expire removes the records whose lease has ended.
func (s *service) expire(now time.Time) {
	expired := false
	for node, stored := range s.records {
		if now.Sub(stored.put) >= Lease {
			delete(s.records, node)
			expired = true
		}
	}
	if expired {
		s.resolveClaims()
	}
}

// resolveClaims determines the winning claim of each backend server: the one with
// the highest incarnation, and among equals that of the lowest node id.
func (s *service) resolveClaims() {
	s.claims = map[ident.Backend]claim{}
	for node, stored := range s.records {
		for _, backend := range stored.Backends {
			best, found := s.claims[backend.ID]
			if !found || backend.Incarnation > best.incarnation || backend.Incarnation == best.incarnation && node < best.node {
				s.claims[backend.ID] = claim{node: node, incarnation: backend.Incarnation}
			}
		}
	}
}

// listing adds the age and the counts to a stored record.
func (s *service) listing(now time.Time, stored *storedRecord) Listing {
	entry := Listing{Record: stored.Record, Age: now.Sub(stored.put)}
	for _, backend := range stored.Backends {
		if s.claims[backend.ID].node != stored.Node {
			continue
		}
		switch backend.State {
		case InService:
			entry.Alive++
			entry.InService++
		case Ejected:
			entry.Alive++
			entry.Ejected++
		case Leaving:
			entry.Draining++
		}
	}
	return entry
}
