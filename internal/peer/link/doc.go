// Package link keeps the yamux sessions between nodes.
//
// A Pool dials a peer when the first stream to it is opened and reuses the
// session for later streams. A session carries streams in both directions,
// whichever node dialed it. Two nodes can therefore reach each other even if only
// one of them can dial the other. Streams to the node itself use an in-memory pipe.
//
// Each session starts with a Hello from both sides. It carries the protocol
// version, the shared fleet token and the sender's monotonic clock reading. From
// these readings the Pool keeps a lower bound of each peer's clock. The bound
// converts "must start within d from now" into a Stamp, a deadline in the peer's
// own clock. Wall clocks are never compared.
package link
