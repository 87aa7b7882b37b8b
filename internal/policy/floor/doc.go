// Package floor keeps ejections from taking a service below its floor, with
// many nodes that cannot always see each other and a store that may be away.
//
// The budget of a service is the number of its backend servers less its floor.
// A Book, one value in the platform's store for each service, shares the budget
// out to nodes as tokens. A node asks for tokens ahead of need, by
// compare-and-swap on the Book, and spends them without the store: one token for
// each backend server it has ejected. A node without a token may not eject; its
// sick server is put last in preference instead.
//
//	op := holder.Tick(now)            // may ask to write the Book
//	if holder.Spend(now, server, inService) { … eject … }
//	holder.Refund(server)             // when it returns, leaves or dies
//
// Tokens rest on servers that were there when they were granted. A node uses
// fewer of them once it knows that servers have gone: Spend compares the Book
// that its tokens rest on with what is heard of each node now.
//
// A token is good for a Lease, counted by the holder from before it sent the
// write that granted or renewed it. Another node may strike out an entry only
// after it has watched it unchanged for the Lease plus a margin, by its own
// clock. So a crashed node's tokens come back, a paused node finds its tokens
// void before anyone else can have them, and a store that is away for hours
// changes nothing, because nobody can strike out anything meanwhile.
package floor
