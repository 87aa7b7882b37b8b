package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/figwick/figwick/internal/base/ident"
)

type (
	// Callers is the limits of many callers in little memory: callers are known
	// by a hash of 64 bits.
	Callers struct {
		limits []hashedLimit
	}

	hashedLimit struct {
		hash  uint64
		rate  float32
		burst float32
	}
)

// Add takes one caller's limit. Sort must follow the last one.
func (c *Callers) Add(service ident.Service, l CallerLimit) {
	c.limits = append(c.limits, hashedLimit{
		hash:  CallerHash(service, l.ID),
		rate:  float32(l.Rate),
		burst: float32(l.Burst),
	})
}

// Sort makes the limits ready for Find.
func (c *Callers) Sort() {
	slices.SortFunc(c.limits, func(a, b hashedLimit) int { return cmp.Compare(a.hash, b.hash) })
	c.limits = slices.Clip(c.limits)
}

// Find returns one caller's limit.
func (c *Callers) Find(service ident.Service, caller ident.Caller) (Limit, bool) {
	at, found := slices.BinarySearchFunc(c.limits, CallerHash(service, caller),
		func(l hashedLimit, hash uint64) int { return cmp.Compare(l.hash, hash) })
	if !found {
		return Limit{}, false
	}
	l := c.limits[at]
	return Limit{Rate: float64(l.rate), Burst: float64(l.burst)}, true
}

// CallerHash is what a caller of a service is known by.
func CallerHash(service ident.Service, caller ident.Caller) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(service))
	_, _ = d.Write([]byte{'/'})
	_, _ = d.WriteString(string(caller))
	return d.Sum64()
}
