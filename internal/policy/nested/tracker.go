package nested

import (
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

const (
	// halfLife is the time after which a counted request counts half, so that a change
	// of the routes is followed.
	halfLife = 20 * time.Second
	// minExpected is how many requests of an origin a route must be expected to have
	// before their absence means anything. The chance that none of so many came is
	// one in a thousand.
	minExpected = 7.0
	// minOthers is how many requests of that origin the other routes must have had.
	minOthers = 4.0
	// maxShare is the largest share of the expected requests that still counts as
	// absence. It leaves room for an operator's occasional test request.
	maxShare = 0.1
	// maxRoutes bounds the routes that are counted.
	maxRoutes = 4096
)

type (
	// Route identifies a route of the configuration.
	Route string

	// Tracker counts the requests that reach one service. The zero value is ready to
	// use. It is not safe for concurrent use.
	Tracker struct {
		routes map[Route]counts
		// all holds the counts of all routes together.
		all       counts
		halvedAt  time.Time
		hasHalved bool
	}

	// counts holds the number of requests by origin, halved every halfLife.
	counts map[ident.Service]float64
)

// Observe counts a request. A request without a route or an origin is not counted.
func (k *Tracker) Observe(now time.Time, route Route, origin ident.Service) {
	if route == "" || origin == "" {
		return
	}
	k.halve(now)
	c, known := k.routes[route]
	if !known {
		if len(k.routes) >= maxRoutes {
			return
		}
		if k.routes == nil {
			k.routes, k.all = map[Route]counts{}, counts{}
		}
		c = counts{}
		k.routes[route] = c
	}
	c[origin]++
	k.all[origin]++
}

// IsNested reports whether a route is called by backend servers only.
func (k *Tracker) IsNested(route Route) bool {
	c := k.routes[route]
	others := k.all.sum() - c.sum()
	if others <= 0 {
		return false
	}
	for origin, n := range k.all {
		elsewhere := n - c[origin]
		expected := c.sum() * elsewhere / others
		if elsewhere >= minOthers && expected >= minExpected && c[origin] <= maxShare*expected {
			return true
		}
	}
	return false
}

// halve halves all counts for each halfLife that has passed. It drops the routes that
// are no longer requested.
func (k *Tracker) halve(now time.Time) {
	if !k.hasHalved {
		k.halvedAt, k.hasHalved = now, true
	}
	for now.Sub(k.halvedAt) >= halfLife {
		k.halvedAt = k.halvedAt.Add(halfLife)
		k.all = counts{}
		for route, c := range k.routes {
			for origin := range c {
				c[origin] /= 2
				k.all[origin] += c[origin]
			}
			if c.sum() < 1 {
				delete(k.routes, route)
			}
		}
		if len(k.routes) == 0 {
			k.halvedAt = now
		}
	}
}

func (c counts) sum() float64 {
	total := 0.0
	for _, n := range c {
		total += n
	}
	return total
}
