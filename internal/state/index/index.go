package index

import (
	"cmp"
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

const (
	// Owners is how many nodes own each service's directory.
	Owners = 3
	// PutEvery is the longest time between two puts of a record.
	PutEvery = 5 * time.Second
	// Fresh is the age up to which unchanged records need not be given again.
	Fresh = PutEvery + 2*time.Second
	// Lease is how long a record is good.
	Lease = 15 * time.Second
)

// The standings of a backend server.
const (
	// InService servers take work.
	InService Standing = iota + 1
	// Ejected servers hold a token of the floor.
	Ejected
	// Leaving servers drain.
	Leaving
)

type (
	// Standing is where a backend server stands.
	Standing int

	// Mark is one backend server in a Record.
	Mark struct {
		ID          ident.Backend
		Incarnation ident.Incarnation
		Standing    Standing
	}

	// Record is a service's backend servers behind one node.
	Record struct {
		Service  ident.Service
		Node     ident.Node
		Address  string
		Zone     ident.Zone
		Slots    int
		Leaving  bool
		Backends []Mark
	}

	// Found is a Record as the directory gives it out.
	Found struct {
		Record
		// Age is the time since it was put.
		Age       time.Duration
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
		records map[ident.Node]*held
		// homes are the backend servers and the nodes that have them.
		homes map[ident.Backend]home
	}

	held struct {
		Record
		put    time.Time
		digest uint64
	}

	home struct {
		node        ident.Node
		incarnation ident.Incarnation
	}
)

// Put takes a record and returns those of its servers that another node has by
// now.
func (x *Index) Put(now time.Time, r Record) []Mark {
	s := x.service(r.Service)
	s.expire(now)
	if len(r.Backends) == 0 {
		delete(s.records, r.Node)
		s.rehome()
		return nil
	}
	s.records[r.Node] = &held{Record: r, put: now, digest: r.Digest()}
	s.rehome()
	var moved []Mark
	for _, m := range r.Backends {
		if h := s.homes[m.ID]; h.node != r.Node && h.incarnation > m.Incarnation {
			moved = append(moved, Mark{ID: m.ID, Incarnation: h.incarnation})
		}
	}
	return moved
}

// Touch renews a record that has not changed since it was put. It reports false
// where the owner has another, or none.
func (x *Index) Touch(now time.Time, name ident.Service, node ident.Node, digest uint64) bool {
	s := x.service(name)
	s.expire(now)
	h, known := s.records[node]
	if !known || h.digest != digest {
		return false
	}
	h.put = now
	return true
}

// Digest sums up what Get would return, and reports whether all of it was put
// within Fresh.
func (x *Index) Digest(now time.Time, name ident.Service) (digest uint64, fresh bool) {
	s, known := x.services[name]
	if !known {
		return 0, true
	}
	s.expire(now)
	fresh = true
	for _, h := range s.records {
		digest ^= h.digest
		fresh = fresh && now.Sub(h.put) < Fresh
	}
	return digest, fresh
}

// Get returns the records of a service, by node.
func (x *Index) Get(now time.Time, name ident.Service) []Found {
	s, known := x.services[name]
	if !known {
		return nil
	}
	s.expire(now)
	found := make([]Found, 0, len(s.records))
	for _, h := range s.records {
		found = append(found, s.found(now, h))
	}
	slices.SortFunc(found, func(a, b Found) int { return cmp.Compare(a.Node, b.Node) })
	return found
}

// Services returns the services that have records, in order.
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

func (x *Index) service(name ident.Service) *service {
	if x.services == nil {
		x.services = map[ident.Service]*service{}
	}
	s, known := x.services[name]
	if !known {
		s = &service{records: map[ident.Node]*held{}}
		x.services[name] = s
	}
	return s
}

func (s *service) expire(now time.Time) {
	lapsed := false
	for node, h := range s.records {
		if now.Sub(h.put) >= Lease {
			delete(s.records, node)
			lapsed = true
		}
	}
	if lapsed {
		s.rehome()
	}
}

// rehome finds the node that has each server: the one with the higher
// incarnation, and of two with the same the first by id.
func (s *service) rehome() {
	s.homes = map[ident.Backend]home{}
	for node, h := range s.records {
		for _, m := range h.Backends {
			other, claimed := s.homes[m.ID]
			if !claimed || m.Incarnation > other.incarnation || m.Incarnation == other.incarnation && node < other.node {
				s.homes[m.ID] = home{node: node, incarnation: m.Incarnation}
			}
		}
	}
}

func (s *service) found(now time.Time, h *held) Found {
	f := Found{Record: h.Record, Age: now.Sub(h.put)}
	for _, m := range h.Backends {
		if s.homes[m.ID].node != h.Node {
			continue
		}
		switch m.Standing {
		case InService:
			f.Alive++
			f.InService++
		case Ejected:
			f.Alive++
			f.Ejected++
		case Leaving:
			f.Draining++
		}
	}
	return f
}
