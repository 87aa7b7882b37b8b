// Package queue assigns the slots of a service's backend servers behind one sidecar to
// attempts. A slot is the right to have one request in progress at a server.
//
// A Queue counts slots exactly: an attempt holds one from its Grant until Release. If no
// slot is free, attempts wait in a short queue, which takes deadlines into account. An attempt that
// could not be answered in time is refused on arrival. One that has waited too long is
// refused when its turn comes, so that no slot is spent on work whose caller has already
// given up.
//
// Attempts whose response can still meet its target are served before those whose response
// will be late, and by priority within each group. The estimate of an attempt's wait includes
// the arrival rate of more urgent attempts, which overtake it. A NoWait attempt is refused
// instead of queued. Attempts with NestedPriority, on which running requests depend, go before
// all others, since those requests hold their slots until then.
//
// Servers have a Grade. Preferred servers are used first, the least loaded of them before the
// others. A Trial server gets one repeatable attempt at a time, a Probation server one that
// need not be repeatable. A LastResort server is used only for attempts that allow it while no
// Preferred server has a free slot.
package queue
