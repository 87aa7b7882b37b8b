// Package queue hands the slots of a service's backend servers behind one
// sidecar to the attempts that want them.
//
// A Line counts slots exactly: an attempt holds one from its Grant until Leave.
// Attempts that find none free wait in a short line. The line is deadline-aware:
// an attempt that could not be answered in time is refused when it comes, and
// one that has waited too long is refused when its turn comes, so that no slot
// goes to work whose caller has already been lost.
//
// Servers have a Grade. Preferred ones come first, the least loaded before the
// others; a Trial server gets one repeatable request at a time; a Last server is
// used only for attempts that allow it while no other has room.
package queue
