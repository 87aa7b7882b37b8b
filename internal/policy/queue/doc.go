// Package queue hands the slots of a service's backend servers behind one
// sidecar to the attempts that want them.
//
// A Line counts slots exactly: an attempt holds one from its Grant until Leave.
// Attempts that find none free wait in a short line. The line is deadline-aware:
// an attempt that could not be answered in time is refused when it comes, and
// one that has waited too long is refused when its turn comes, so that no slot
// goes to work whose caller has already been lost.
//
// What waits goes in the order of its use: attempts whose answer can still be in
// time before those whose answer will be late, then the more urgent first. The wait
// that an attempt would have is estimated with the inflow of more urgent ones, which
// go ahead of it. A Direct attempt is refused rather than made to wait.
//
// Servers have a Grade. Preferred ones come first, the least loaded before the
// others; a Trial server gets one repeatable request at a time, a Wary one one of any kind; a Last server is
// used only for attempts that allow it while no other has room.
package queue
