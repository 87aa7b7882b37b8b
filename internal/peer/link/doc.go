// Package link keeps the yamux sessions between nodes.
//
// A Pool dials a peer when a stream to it is first wanted and keeps the session
// for later streams. A session that a peer dialled serves streams in both
// directions, so that two nodes of which only one can dial the other still
// reach each other. Streams to the node itself go through memory.
//
// Each session starts with a Hello from both sides. It carries the protocol
// version, the shared token and the sender's monotonic clock. From the clock
// readings of a peer the Pool keeps a lower bound of that peer's clock, which
// turns "must start within d from now" into a Stamp that only the peer's own
// clock has to judge. No wall clocks are compared.
package link
