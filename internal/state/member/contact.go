package member

import (
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

// aloneTime is how long a node that knows of no other, and has not been contacted, may be one that
// cannot reach its fleet. After it, the node counts as the only one.
const aloneTime = 30 * time.Second

// contacts records which nodes have contacted this one. A node that is cut off sees no other die,
// since that takes accusers on both sides of the cut. It learns of the cut by the silence of the nodes
// that watch it.
type contacts struct {
	heardAt map[ident.Node]time.Time
	// watchedSince is when a watcher of this node became one, as Contacted saw it.
	watchedSince map[ident.Node]time.Time
	// accusedAt is when this node last learned that enough others accused it to be dead.
	accusedAt time.Time
	// begunAt is when Contacted was first called, and heard whether another node has sent a
	// message since.
	begunAt time.Time
	heard   bool
}

// note records a message of another node.
func (c *contacts) note(now time.Time, from ident.Node) {
	if c.heardAt == nil {
		c.heardAt = map[ident.Node]time.Time{}
	}
	c.heardAt[from] = now
	c.heard = true
}

// noteAccused records that the given number of nodes accused this one.
func (c *contacts) noteAccused(now time.Time, accusers int) {
	if accusers > 1 {
		c.accusedAt = now
	}
}

// Contacted reports whether no other node can have declared this one dead, unless it did so longer
// than a failure detection ago: all watchers but one of several have contacted it within the given time. Where it
// reports false, others may have taken over what this node owns. A node that has just started must
// have been contacted; later, a new watcher has the same time for its first contact.
func (g *Group) Contacted(now time.Time, within time.Duration) bool {
	g.refreshCaches()
	c := &g.contacts
	if c.begunAt.IsZero() {
		c.begunAt = now
	}
	started := now.Sub(c.begunAt) > within
	if !c.heard && len(g.live) == 1 && now.Sub(c.begunAt) < aloneTime {
		return false
	}
	watchers := g.ring.watchersOf(g.self, g.entries[g.self].Zone)
	since := make(map[ident.Node]time.Time, len(watchers))
	silent := 0
	for _, id := range watchers {
		at, known := c.watchedSince[id]
		if !known && started {
			at = now
		}
		since[id] = at
		if now.Sub(at) > within && now.Sub(c.heardAt[id]) > within {
			silent++
		}
	}
	c.watchedSince = since
	for id := range c.heardAt {
		if !slices.Contains(watchers, id) {
			delete(c.heardAt, id)
		}
	}
	// Of a single watcher nothing is known once it is silent.
	return silent <= len(watchers)/2 && now.Sub(c.accusedAt) > within
}
