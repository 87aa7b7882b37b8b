package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/figwick/figwick/internal/base/ident"
)

type (
	// CallerLimitSet is a compact set of caller limits. It stores a 64-bit hash
	// in place of the service's name and the caller's id, and rates and bursts
	// with the precision of a float32. It implements CallerLimits.
	CallerLimitSet struct {
		limits []hashedLimit
	}

	hashedLimit struct {
		hash  uint64
		rate  float32
		burst float32
	}
)

// Add adds one caller's limit. Sort must be called after the last Add.
func (c *CallerLimitSet) Add(service ident.Service, l CallerLimit) {
	c.limits = append(c.limits, hashedLimit{
		hash:  CallerHash(service, l.ID),
		rate:  float32(l.Rate),
		burst: float32(l.Burst),
	})
}

// Sort prepares the set for Find.
func (c *CallerLimitSet) Sort() {
	slices.SortFunc(c.limits, func(a, b hashedLimit) int { return cmp.Compare(a.hash, b.hash) })
	c.limits = slices.Clip(c.limits)
}

// Find returns the limit of a caller of a service. It reports false if the set has
// none.
func (c *CallerLimitSet) Find(service ident.Service, caller ident.Caller) (Limit, bool) {
	i, found := slices.BinarySearchFunc(c.limits, CallerHash(service, caller),
		func(l hashedLimit, hash uint64) int { return cmp.Compare(l.hash, hash) })
	if !found {
		return Limit{}, false
	}
	l := c.limits[i]
	return Limit{Rate: float64(l.rate), Burst: float64(l.burst)}, true
}

// CallerHash returns the hash that identifies a caller of a service. Package
// accept chooses the chunk of a caller's limit by the same hash of the same text.
func CallerHash(service ident.Service, caller ident.Caller) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(service))
	_, _ = d.Write([]byte{'/'})
	_, _ = d.WriteString(string(caller))
	return d.Sum64()
}
