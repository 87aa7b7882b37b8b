package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/figwick/figwick/internal/base/ident"
)

// watchers is how many nodes watch each node.
const watchers = 3

type (
	// ring orders the live nodes of each availability zone by hash.
	ring struct {
		zones []ident.Zone
		spots map[ident.Zone][]spot
	}

	spot struct {
		hash uint64
		id   ident.Node
	}
)

func hashOf(id string) uint64 {
	return xxhash.Sum64String(id)
}

func newRing(live []*entry) *ring {
	r := &ring{spots: map[ident.Zone][]spot{}}
	for _, e := range live {
		r.spots[e.Zone] = append(r.spots[e.Zone], spot{hash: hashOf(string(e.ID)), id: e.ID})
	}
	for zone, spots := range r.spots {
		r.zones = append(r.zones, zone)
		slices.SortFunc(spots, func(a, b spot) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
		})
	}
	slices.Sort(r.zones)
	return r
}

// watchersOf returns the nodes that watch a node: one of its own zone and one
// of each of two others, and further ones where there are fewer zones.
func (r *ring) watchersOf(id ident.Node, zone ident.Zone) []ident.Node {
	hash := hashOf(string(id))
	order := r.zoneOrder(hash, zone)
	var chosen []ident.Node
	for depth := 0; len(chosen) < watchers; depth++ {
		found := false
		for _, z := range order {
			next, ok := r.after(z, hash, depth, id)
			if !ok {
				continue
			}
			found = true
			if len(chosen) < watchers && !slices.Contains(chosen, next) {
				chosen = append(chosen, next)
			}
		}
		if !found {
			break
		}
	}
	return chosen
}

// zoneOrder starts with a node's own zone and goes round from a place that its
// hash gives.
func (r *ring) zoneOrder(hash uint64, own ident.Zone) []ident.Zone {
	order := []ident.Zone{own}
	for i := range r.zones {
		zone := r.zones[(uint64(i)+hash)%uint64(len(r.zones))]
		if zone != own {
			order = append(order, zone)
		}
	}
	return order
}

// after returns the node at a distance behind a hash in a zone's ring, leaving
// out one node.
func (r *ring) after(zone ident.Zone, hash uint64, depth int, except ident.Node) (ident.Node, bool) {
	spots := r.spots[zone]
	start, _ := slices.BinarySearchFunc(spots, hash, func(s spot, h uint64) int { return cmp.Compare(s.hash, h) })
	for i := range spots {
		s := spots[(start+i)%len(spots)]
		if s.id == except {
			continue
		}
		if depth == 0 {
			return s.id, true
		}
		depth--
	}
	return "", false
}

// Rendezvous returns the n nodes of the highest score for a key, the highest
// first. All nodes that know the same candidates agree on the result.
func Rendezvous(key string, candidates []ident.Node, n int) []ident.Node {
	type scored struct {
		id    ident.Node
		score uint64
	}
	best := make([]scored, 0, n+1)
	d := xxhash.New()
	for _, id := range candidates {
		d.Reset()
		_, _ = d.WriteString(string(id))
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(key)
		s := scored{id: id, score: d.Sum64()}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
		})
		if at >= n {
			continue
		}
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), n)]
	}
	ids := make([]ident.Node, len(best))
	for i, s := range best {
		ids[i] = s.id
	}
	return ids
}
