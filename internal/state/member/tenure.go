package member

import (
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

// tenureMemory is how long a node that no longer works is remembered. A tenure that began earlier
// counts as that long. It is longer than any effect of a tenure's begin.
const tenureMemory = 10 * time.Minute

// Tenure tells since when this node has had the highest rendezvous score of a key. It remembers
// the nodes that have stopped working instead of the past sets of nodes: this node was not the
// first before the last of those with a higher score had left. It is not safe for concurrent use.
type Tenure struct {
	self    ident.Node
	started time.Time
	working []ident.Node
	removed map[ident.Node]time.Time
}

// NewTenure returns a Tenure for a node that has just started.
func NewTenure(self ident.Node, now time.Time) *Tenure {
	return &Tenure{self: self, started: now, removed: map[ident.Node]time.Time{}}
}

// Update sets the working nodes, sorted.
func (t *Tenure) Update(now time.Time, working []ident.Node) {
	for _, id := range t.working {
		if _, found := slices.BinarySearch(working, id); !found {
			t.removed[id] = now
		}
	}
	for id, at := range t.removed {
		if _, found := slices.BinarySearch(working, id); found {
			delete(t.removed, id)
		} else if expired := now.Add(-tenureMemory); at.Before(expired) {
			delete(t.removed, id)
			if expired.After(t.started) {
				t.started = expired
			}
		}
	}
	t.working = working
}

// Since returns the moment since which this node has been the first for a key. It reports false
// if it is not.
func (t *Tenure) Since(key string) (time.Time, bool) {
	first := Rendezvous(key, t.working, 1)
	if len(first) == 0 || first[0] != t.self {
		return time.Time{}, false
	}
	since := t.started
	for id, at := range t.removed {
		if at.After(since) && Rendezvous(key, []ident.Node{t.self, id}, 1)[0] == id {
			since = at
		}
	}
	return since, true
}
