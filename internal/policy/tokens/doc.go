// Package tokens holds each organisation to its quota of requests over the whole fleet.
//
// One node, the grantor, keeps a token bucket of the organisation's rate and burst. Each ingress
// has a Holder. A request takes a token there, and if there is none, waits for the grantor's
// answer:
//
//	verdict := holder.Take(t, name)
//	if verdict.Result == tokens.MustAsk {
//		request, instance := holder.Ask(t, name, waiting)
//		// at the grantor: reply := grantor.Grant(t, request, limit, since)
//		holder.Reply(t, name, asked, request.Want, instance, reply) // or Failed
//		verdict = holder.Take(t, name)
//	}
//
// A token is valid for Terms.Validity, from when the holder asked for it. Tokens that expire
// unused are returned with the next message, and so is the credit of requests that were not run.
// The grantor therefore counts the tokens that are granted and not returned unused, in parts of
// the window. The count, not the bucket, is what the bound of a window rests on.
//
// Which node grants is not decided here. A node that is new to an organisation, or was suspended,
// grants nothing for SettleTime and then begins with an empty bucket. One that sees a fraction of
// the known nodes grants that fraction. Where the grantor cannot be asked, a few nodes that a
// Selector selects may use one token each in a window; all others refuse.
//
// The times are those of a clock that does not stop while the VM is suspended.
// docs/design/quotas.md has the sum that shows why the bound holds.
package tokens
