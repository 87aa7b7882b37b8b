// Package fence records which attempts have started, and prevents an attempt
// from starting once its ingress has been answered that it was not run.
//
// A sidecar has one Table. Every attempt at a request that must not be repeated
// passes Admit when it arrives, and Start right before it is sent to a backend
// server. An ingress that lost contact with the attempt calls Fence to learn its
// fate. An attempt that has not started by then is barred from ever starting.
//
//	switch table.Start(now, attempt) {
//	case fence.Started:
//		// send it
//	default:
//		// refuse it: it was not run
//	}
//
// Each attempt carries the time by which it must start, on the sidecar's own
// clock. This bounds the size of the table: after that time the attempt is
// refused as late, so its tombstone is no longer needed. A started attempt is
// remembered for Retention beyond that time. Its answer is kept with it if it is
// small, so that an ingress that lost the answer can still fetch it.
package fence
