// Package route chooses the sidecar for an attempt.
//
// A Picker holds the sidecars of one service as one ingress knows them. Word of
// them comes from membership (Set, Remove) and, fresher, with every answer
// (Answered, Refused). Pick compares two sidecars drawn at random by the load
// they told, the attempts this ingress has under way and their latency; its own
// availability zone goes first while it has room.
//
// The verdict on a path is apart from any verdict on backend servers: an
// ingress that cannot reach a sidecar avoids it for a growing time and tells
// nobody else.
package route
