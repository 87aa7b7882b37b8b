// Package member implements the membership protocol of the fleet: gossip and
// failure detection between nodes.
//
// A Group is one node's view of the fleet. It does no I/O; the caller sends the
// exchanges that it returns:
//
//	for _, exchange := range group.Tick(t) {
//		// send exchange.Message, then call Reply with the answer, or Failed
//	}
//	answer := group.Receive(t, message) // for a message from another node
//
// A node exchanges records with a few fixed neighbours. A hash ring assigns each
// node up to three watchers, one from its own availability zone and the others
// from other zones if there are any. An exchange is push-pull: both sides send the
// records that the other doesn't have yet. Two neighbours whose digests keep
// differing send all their records again.
//
// Records are versioned by (incarnation, heartbeat) and the higher version wins.
// Accusations of the same version accumulate. A node is dead when two nodes accuse
// it, which must be of different availability zones if the fleet has several. An
// accused node refutes by raising its heartbeat, and any one node that receives
// its messages passes the refutation on. So a path between two nodes that loses
// messages in one direction makes neither of them dead.
//
// An exchange also carries the revision of the sender's configuration, at a cost
// of eight bytes. The Group notes the highest one and where to fetch it. The latest era
// of the store travels with it, so that all nodes learn within seconds that the store has
// come back from an older copy, although few of them watch it. The
// records that a Group sends are limited to a budget in bytes a second.
package member
