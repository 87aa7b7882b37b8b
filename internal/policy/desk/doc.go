// Package desk is the whole decision state of one sidecar: which attempts wait,
// which hold a slot, what each backend server is worth, and what may be ejected.
//
// It joins the packages roster, queue, health, floor and fence. Every method
// takes one event and returns the operations that follow; nothing happens in
// between, so that a dump between two events is the whole truth.
//
//	decision := d.Admit(t, attempt)
//	switch decision.Kind {
//	case desk.Granted: // send it to decision.Server, then Finish
//	case desk.Waiting: // a later Ops holds its Grant or its Refusal
//	case desk.Refused: // tell why; it never starts
//	}
//
// A grant counts as the start: from there on a fence says that the attempt runs.
package desk
