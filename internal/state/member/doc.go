// Package member knows the nodes of the fleet.
//
// A Group is one node's view. It exchanges records with a few lasting
// neighbours: each node is watched by up to three others, from its own
// availability zone and from others, found on a hash ring. An exchange pushes
// and pulls what has changed; two neighbours whose digests stay different send
// everything again.
//
//	for _, op := range group.Tick(t) {
//		// carry the exchange out, then Reply or Failed
//	}
//	answer := group.Receive(t, message)
//
// A record is merged by (incarnation, beat), the higher wins, and at the same
// beat accusations add up. A node is dead once it is accused from two sides:
// from two availability zones where the fleet has them. It refutes by a higher
// beat, which it can as soon as anyone hears it; so one direction lost between
// two nodes kills neither.
//
// The Group also carries the highest configuration revision it has seen, which
// costs eight bytes an exchange, and keeps its records to a budget in bytes.
package member
