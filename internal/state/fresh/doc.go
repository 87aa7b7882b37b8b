// Package fresh decides how current a node's configuration is known to be.
//
// A removed API key must have no effect a fixed time, the bound, after the store has
// acknowledged the configuration without it. A node that cannot see a newer
// configuration must therefore stop using the keys of its own. A Tracker keeps the
// node's proof: the latest moment at which no configuration newer than the one in
// force was in the store. Keys are used while the proof is younger than the bound less
// a margin of a tenth, which covers clocks that run at different rates.
//
// What proves the state at which moment:
//
//   - A reply of the store proves it at the moment the call was sent, not at the reply:
//     the store may have dropped a watch while it waited.
//   - The reply of another node proves it at the moment the question was sent, less the
//     age that the other node states. A message that was not asked for proves nothing,
//     since its delay is unknown.
//   - A proof that names a higher revision than the one in force counts once that
//     revision is in force. A proof of a lower revision counts at once: what was the
//     newest then is not newer than the one in force.
//   - A reply with an earlier version of the key than the store has returned before, or
//     with an earlier revision than the one in force that was written in the same era,
//     comes from an outdated copy and proves nothing.
//   - After the store has come back from an older copy (a new era) its replies count
//     only a while later. Configurations that it has lost come from other nodes within
//     that time, in which the node must run.
//
// Times are those of the machine's boot-time clock, so that a suspension ages the
// proof. A node that has just started has no proof.
//
// An Asker chooses from whom a node that does not watch the store gets its proofs: one
// node that watches it, then another, then a random node, then the store itself.
//
//	tracker.Adopted(revision)
//	tracker.StoreReplied(fresh.StoreReply{Sent: sent, Received: now, Version: v, Revision: r})
//	if !tracker.MayUseKeys(now) { … refuse … }
package fresh
