// Package wire is the protocol between figwick's own processes: protobuf
// messages in length-prefixed frames, one exchange to a yamux stream.
//
// The first frame of a stream tells what the exchange is: an attempt
// (RequestHead), a Fence, a Gossip, a ConfigFetch or a Relay. Bodies travel as
// raw bytes in KindBody frames, so that they are copied once on each side.
// Every kind has its own size limit, checked before the payload is read.
//
//	conn := wire.NewConn(stream)
//	defer conn.Release()
//	err := conn.Send(wire.KindFence, &wire.Fence{Attempt: "…"})
//	frame, err := conn.Next()
//	reply, err := wire.Decode[wire.FenceReply](frame, wire.KindFenceReply)
//
// Versions: a node speaks Version and accepts peers down to OldestVersion. A
// change that an older node would misread raises Version; OldestVersion follows
// one release later, so that a rolling upgrade never mixes nodes that cannot
// speak to each other.
package wire
