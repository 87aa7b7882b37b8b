// Package route chooses the sidecar for an attempt.
//
// A Picker holds the sidecars of one service as one ingress knows them. It is
// updated from membership (Set, Remove) and, with less delay, from every reply of
// a sidecar (Answered, Refused). Pick draws two sidecars at random in the ingress's
// availability zone and two in the others, and takes the one where the attempt is expected
// to end first: by the mean service time that the sidecar reports, and the wait for a
// slot. A sidecar in another zone must be better by the cost of the bytes between zones,
// a fraction of the target latency. So the share of the attempts that leave a zone grows
// gradually with its load.
//
// Among many sidecars an ingress hears from each only every few seconds, when the
// requests that its last report counted have long ended. A report therefore loses its
// weight within a few service times, and the mean load of the zone, to which all replies
// contribute, takes its place. What is left is the uncertainty of a single server's load:
// LikelyFree says whether a further sidecar is worth asking for a free slot, since a
// refusal costs a message and a wait behind a full server a part of a service time.
//
// Path failures are kept apart from the health of backend servers. An ingress
// that can't reach a sidecar backs off from it for an increasing time and doesn't
// share this with other nodes.
package route
