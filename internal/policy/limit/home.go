package limit

import (
	"math"
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

// headroom is how much more than its demand a node gets, so that it can grow.
const headroom = 1.25

type (
	// Home shares out the rates of the callers that one node is home to. It is
	// not safe for concurrent use.
	Home struct {
		// Since is when the node became home.
		Since time.Time
		// Visible is the part of the known nodes that this one sees, from 0 to
		// 1.
		Visible float64
		callers map[Key]map[ident.Node]*lease
	}

	lease struct {
		demand  float64
		share   float64
		expires time.Time
	}
)

// Assign grants a node its share for a Lease from now.
func (h *Home) Assign(now time.Time, node ident.Node, d Demand) Share {
	leases := h.leases(now, d.Key)
	mine, found := leases[node]
	if !found {
		mine = &lease{}
		leases[node] = mine
	}
	mine.demand = d.PerSecond
	mine.expires = now.Add(Lease)
	if now.Sub(h.Since) < Lease {
		mine.share = 0
		return Share{Key: d.Key}
	}
	total := d.Rate.PerSecond * h.visible()
	others := 0.0
	for n, l := range leases {
		if n != node {
			others += l.share
		}
	}
	mine.share = max(0, min(fair(leases, node, total), total-others))
	return Share{Key: d.Key, PerSecond: mine.share}
}

// Expire forgets the callers that nobody asks for.
func (h *Home) Expire(now time.Time) {
	for key := range h.callers {
		if len(h.leases(now, key)) == 0 {
			delete(h.callers, key)
		}
	}
}

// Len returns how many callers have shares.
func (h *Home) Len() int {
	return len(h.callers)
}

func (h *Home) visible() float64 {
	if h.Visible <= 0 || h.Visible > 1 {
		return 1
	}
	return h.Visible
}

func (h *Home) leases(now time.Time, key Key) map[ident.Node]*lease {
	if h.callers == nil {
		h.callers = map[Key]map[ident.Node]*lease{}
	}
	leases, found := h.callers[key]
	if !found {
		leases = map[ident.Node]*lease{}
		h.callers[key] = leases
	}
	for node, l := range leases {
		if !now.Before(l.expires) {
			delete(leases, node)
		}
	}
	return leases
}

// fair fills the demands up from the smallest; what is left over is spread
// evenly.
func fair(leases map[ident.Node]*lease, node ident.Node, total float64) float64 {
	wants := make([]float64, 0, len(leases))
	for _, l := range leases {
		wants = append(wants, l.demand*headroom)
	}
	slices.Sort(wants)
	left := total
	for i, want := range wants {
		even := left / float64(len(wants)-i)
		if want >= even {
			return min(leases[node].demand*headroom, even)
		}
		left -= want
	}
	return leases[node].demand*headroom + left/float64(len(wants))
}

func decayOver(elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
}
