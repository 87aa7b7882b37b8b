// Package route chooses the sidecar for an attempt.
//
// A Picker holds the sidecars of one service as one ingress knows them. It is
// updated from membership (Set, Remove) and, with less delay, from every reply of
// a sidecar (Answered, Refused). Pick draws two sidecars at random and takes the
// better one by reported load, this ingress's own attempts in flight and latency.
// Sidecars in the ingress's availability zone come first while they have free
// slots.
//
// Path failures are kept apart from the health of backend servers. An ingress
// that can't reach a sidecar backs off from it for an increasing time and doesn't
// share this with other nodes.
package route
