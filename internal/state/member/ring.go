package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/figwick/figwick/internal/base/ident"
)

// watchersPerNode is the most nodes that watch one node.
const watchersPerNode = 3

type (
	// ring is a hash ring of the live nodes for each availability zone.
	ring struct {
		zones  []ident.Zone
		points map[ident.Zone][]ringPoint
	}

	// ringPoint is the place of one node on the ring of its zone.
	ringPoint struct {
		hash uint64
		id   ident.Node
	}
)

func hashOf(id string) uint64 {
	return xxhash.Sum64String(id)
}

func newRing(live []*entry) *ring {
	r := &ring{points: map[ident.Zone][]ringPoint{}}
	for _, e := range live {
		r.points[e.Zone] = append(r.points[e.Zone], ringPoint{hash: hashOf(string(e.ID)), id: e.ID})
	}
	for zone, points := range r.points {
		r.zones = append(r.zones, zone)
		slices.SortFunc(points, func(a, b ringPoint) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
		})
	}
	slices.Sort(r.zones)
	return r
}

// watchersOf returns up to watchersPerNode nodes that watch a node: one of its own
// zone and one of each of two others. With fewer zones, or too few nodes in them, it
// goes round the zones again.
func (r *ring) watchersOf(id ident.Node, zone ident.Zone) []ident.Node {
	hash := hashOf(string(id))
	order := r.zoneOrder(hash, zone)
	var chosen []ident.Node
	for skip := 0; len(chosen) < watchersPerNode; skip++ {
		found := false
		for _, z := range order {
			next, ok := r.successor(z, hash, skip, id)
			if !ok {
				continue
			}
			found = true
			if len(chosen) < watchersPerNode && !slices.Contains(chosen, next) {
				chosen = append(chosen, next)
			}
		}
		if !found {
			break
		}
	}
	return chosen
}

// zoneOrder returns all zones: the node's own first, then the others in rotation
// from a place that the node's hash gives, which spreads the watchers over the
// zones.
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

// successor walks a zone's ring from a hash and returns the node after the first
// skip ones, not counting the excluded node. It reports false if the zone has too few
// nodes.
func (r *ring) successor(zone ident.Zone, hash uint64, skip int, exclude ident.Node) (ident.Node, bool) {
	points := r.points[zone]
	start, _ := slices.BinarySearchFunc(points, hash, func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
	for offset := range points {
		p := points[(start+offset)%len(points)]
		if p.id == exclude {
			continue
		}
		if skip == 0 {
			return p.id, true
		}
		skip--
	}
	return "", false
}

// Rendezvous returns the n candidates with the highest score for a key, the highest
// first, by rendezvous hashing. All nodes that know the same candidates get the same
// result, and removing a candidate moves only the keys that it had.
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
