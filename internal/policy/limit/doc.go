// Package limit enforces each caller's rate limit across all nodes, without a
// remote call for each request.
//
// Every ingress has a Limiter. It admits a caller's requests from a token bucket
// that is filled at this node's share of the caller's rate. A caller that stays
// well below its base rate, the small rate that each node allows without a
// share, causes no messages at all. For every other caller, one node of the
// fleet runs an Allocator. The ingresses report their demand to it and receive
// shares, valid for Lease, that follow the demand.
//
// The shares under lease add up to at most the rate, and the base rates of the
// nodes without a share to at most BaseFraction of it. A caller therefore gets at
// most 1+BaseFraction times its rate, plus, once at each node that has not seen
// it before, a part of its burst. During a network partition each side has an
// Allocator of its own. An Allocator that sees only a fraction of the known nodes
// allocates only that fraction of the rate. A new Allocator grants nothing for
// one Lease, until the shares granted by its predecessor have expired.
package limit
