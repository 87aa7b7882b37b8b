package limit

import (
	"math"
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

// headroom scales a node's demand before it is compared with other nodes', so
// that its traffic can grow between two reports.
const headroom = 1.25

type (
	// Allocator divides the rates of the callers that one node is responsible for
	// among the ingresses. It is not safe for concurrent use.
	Allocator struct {
		// Since is when the node became the allocator of its callers.
		Since time.Time
		// VisibleFraction is the fraction of the known nodes that this node can reach.
		// Values outside (0, 1] count as 1.
		VisibleFraction float64
		callers         map[Key]map[ident.Node]*lease
	}

	// lease is one node's share of a caller's rate. Its demand and share are in
	// requests per second.
	lease struct {
		demand  float64
		share   float64
		expires time.Time
	}
)

// Assign records a node's demand and grants it a share until one Lease from now.
// The share is 0 during the Allocator's first Lease. It never exceeds what the
// unexpired shares of the other nodes leave of the rate, so a node whose demand
// has grown waits until the others' shares have shrunk.
func (a *Allocator) Assign(now time.Time, node ident.Node, d Demand) Share {
	leases := a.leases(now, d.Key)
	own, found := leases[node]
	if !found {
		own = &lease{}
		leases[node] = own
	}
	own.demand = d.PerSecond
	own.expires = now.Add(Lease)
	if now.Sub(a.Since) < Lease {
		own.share = 0
		return Share{Key: d.Key}
	}
	total := d.Rate.PerSecond * a.visibleFraction()
	others := 0.0
	for n, l := range leases {
		if n != node {
			others += l.share
		}
	}
	own.share = max(0, min(maxMinShare(leases, node, total), total-others))
	return Share{Key: d.Key, PerSecond: own.share}
}

// Expire removes the callers that have no unexpired shares.
func (a *Allocator) Expire(now time.Time) {
	for key := range a.callers {
		if len(a.leases(now, key)) == 0 {
			delete(a.callers, key)
		}
	}
}

// Len returns the number of callers with shares.
func (a *Allocator) Len() int {
	return len(a.callers)
}

func (a *Allocator) visibleFraction() float64 {
	if a.VisibleFraction <= 0 || a.VisibleFraction > 1 {
		return 1
	}
	return a.VisibleFraction
}

// leases returns a caller's unexpired leases by node and deletes the others.
func (a *Allocator) leases(now time.Time, key Key) map[ident.Node]*lease {
	if a.callers == nil {
		a.callers = map[Key]map[ident.Node]*lease{}
	}
	leases, found := a.callers[key]
	if !found {
		leases = map[ident.Node]*lease{}
		a.callers[key] = leases
	}
	for node, l := range leases {
		if !now.Before(l.expires) {
			delete(leases, node)
		}
	}
	return leases
}

// maxMinShare returns a node's max-min fair share of total: demands, scaled by
// headroom, are met from the smallest up, and the rest is divided evenly.
func maxMinShare(leases map[ident.Node]*lease, node ident.Node, total float64) float64 {
	scaled := make([]float64, 0, len(leases))
	for _, l := range leases {
		scaled = append(scaled, l.demand*headroom)
	}
	slices.Sort(scaled)
	remaining := total
	for i, want := range scaled {
		evenShare := remaining / float64(len(scaled)-i)
		if want >= evenShare {
			return min(leases[node].demand*headroom, evenShare)
		}
		remaining -= want
	}
	return leases[node].demand*headroom + remaining/float64(len(scaled))
}

// decayOver returns the factor by which a demand average decays in elapsed.
func decayOver(elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
}
