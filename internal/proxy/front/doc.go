// Package front is the ingress: it takes callers' HTTP requests and owns the
// outcome of each.
//
// A Server matches a request to a service, holds the caller to its limit, and
// makes attempts at sidecars until there is a whole answer or a truthful reason
// why not. Every answer that is not a backend server's own bears the header
// Figwick-Outcome:
//
//   - not-run: no backend server was given the request, or the one that was
//     vouches that it did not run it. It is safe to send again.
//   - unknown: the request may have been run.
//
// An attempt whose answer is lost is followed by a fence, directly or through
// another node, so that "unknown" is said only where nobody can tell.
package front
