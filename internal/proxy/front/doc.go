// Package front is the ingress. It accepts callers' HTTP requests and determines
// the outcome of each.
//
// A Server matches a request to a service, applies the caller's rate limit, and
// makes attempts at sidecars until it has a complete response or must give up. An
// answer that the ingress makes itself reports one of these outcomes, by default
// in the header field Figwick-Outcome:
//
//   - not-run: no backend server received the request, or the one that did
//     asserted that it did not run it. It is safe to send again.
//   - unknown: the request may have been run.
//   - ran: an earlier submission with the same idempotency key was run, and its
//     response was not stored.
//
// If the configuration names organisations, a request needs the API key of one of them,
// unless its route is public. The key is looked up when the request is accepted and goes
// no further; attempts carry the organisation's name. Freshness says whether the
// configuration is recent enough to decide on a key, Quotas whether the organisation may
// send another request.
//
// If the response to an attempt that must not repeat is lost, the ingress asks the
// sidecar for the attempt's fate by a fence, directly and through other nodes. It
// reports "unknown" only if no reply settles the question.
package front
