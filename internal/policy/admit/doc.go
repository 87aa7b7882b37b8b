// Package admit is the admission control of one sidecar. It decides which attempts
// wait, which get a slot of a backend server, and which backend servers are
// ejected.
//
// A Controller combines the packages roster, queue, health, floor and fence. Each
// method handles one event and returns the operations that the caller must carry
// out. The state changes only in these calls, so that a dump taken between two of
// them is complete.
//
//	decision := c.Admit(t, attempt)
//	switch decision.Kind {
//	case admit.Granted: // send it to decision.Server, then call Finish
//	case admit.Waiting: // a later Ops holds its Grant or its Refusal
//	case admit.Refused: // report decision.Reason; it never starts
//	}
//
// An attempt counts as started once it is granted a slot: from then on Fence
// reports it as running.
package admit
