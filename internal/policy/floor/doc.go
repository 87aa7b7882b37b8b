// Package floor keeps ejections from taking a service below its floor, the least number of
// backend servers in service. It works with many nodes that cannot always reach each other
// and with a store that may be unreachable.
//
// The ejection budget of a service is the number of its backend servers minus its floor. A
// Ledger, one value per service in the platform's store, divides the budget among the nodes
// as tokens. A node obtains tokens in advance, by compare-and-swap on the Ledger, and
// spends them without the store: one token for each backend server it has ejected. A node
// without a token must not eject; its unhealthy server becomes the last choice instead.
//
//	if holder.WriteDue(now) { entry := holder.PrepareWrite(now, floor, dead, &ledger) … }
//	if holder.Spend(now, server, view) { … eject … }
//	holder.Refund(server)             // when it returns to service, leaves or dies
//
// Tokens are granted against the servers that existed at that time. A node uses fewer of
// them once it knows that servers have gone: Spend compares the Ledger that its tokens were
// granted from with the latest reports from each node.
//
// A token is valid for a Lease. The holder counts the Lease from before it sent the write
// that granted or renewed the token. Another node may remove an entry only after it has
// seen it unchanged for the Lease plus a margin, by its own clock. Three properties follow:
// a crashed node's tokens are freed, a paused node finds its tokens expired before any other
// node can get them, and a store outage of hours changes nothing, because no node can
// remove an entry in the meantime.
package floor
