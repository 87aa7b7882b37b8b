package poll

import "time"

// handoverTime is how long a node that cannot reach the store goes on watching after it
// was selected last. The others learn of that by gossip, which takes seconds in a large
// fleet with cut paths, and until then nobody watches in its place.
const handoverTime = 6 * time.Second

// Duty says whether one node watches the store, with a handover to the next. The zero
// value is ready to use. It is not safe for concurrent use.
type Duty struct {
	until time.Time
}

// Watches reports whether the node watches now. selected is the result of IsPoller,
// unreachable whether the store is unreachable for the node.
func (d *Duty) Watches(now time.Time, selected, unreachable bool) bool {
	if selected {
		d.until = now.Add(handoverTime)
	}
	return selected || unreachable && now.Before(d.until)
}
