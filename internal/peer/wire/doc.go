// Package wire is the protocol between figwick's own processes: protobuf
// messages in length-prefixed frames, one exchange to a yamux stream.
//
// The first frame of a stream determines the exchange: an attempt (RequestHead), a
// Fence, a Gossip, a ConfigFetch, a Directory, a Demands or a Relay. Bodies are sent
// as raw bytes in KindBody frames, which copies them only once on each side. Every
// kind has its own size limit, checked before the payload is read.
//
//	conn := wire.NewConn(stream)
//	defer conn.Release()
//	err := conn.Send(wire.KindFence, &wire.Fence{Attempt: "…"})
//	frame, err := conn.Next()
//	reply, err := wire.Decode[wire.FenceReply](frame, wire.KindFenceReply)
//
// A node speaks Version and accepts peers down to OldestVersion. A change that an
// older node would misread increments Version. OldestVersion follows one release
// later. During a rolling upgrade by one release all nodes are therefore compatible.
package wire
