// Package fence knows whether an attempt was started, and keeps one from
// starting once somebody was told that it was not run.
//
// A sidecar has one Table. Every attempt that must not repeat passes Admit on
// arrival and Start right before its backend server hears of it. Fence asks for
// its fate from outside: an attempt that has not started by then never will.
//
//	switch table.Start(now, attempt) {
//	case fence.Started:
//		// send it
//	default:
//		// refuse it: it was not run
//	}
//
// Each attempt carries the last moment at which it may start, in the clock of
// the sidecar itself. That bounds the memory: once the moment has passed, the
// attempt is refused for lateness and needs no tombstone. A started attempt is
// remembered for Keep beyond that, with its answer where the answer is small,
// so that an ingress which lost the answer can still have it.
package fence
