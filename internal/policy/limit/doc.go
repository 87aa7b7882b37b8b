// Package limit holds each caller to its rate over all nodes without a call for
// each request.
//
// Every ingress has a Local, which allows a caller's requests from a token
// bucket at this node's share of the rate. A caller that stays below the small
// base share costs no message at all. For the others, one node for each caller,
// its home, runs a Home: the ingresses report their demand to it and get shares
// for a Lease, which move with the demand.
//
// All shares under lease add up to the rate at most, and the base shares of
// nodes without one to BaseFraction of it: callers get at most 1+BaseFraction
// times their rate, and once, at each node they are new to, a part of their burst. While the fleet is split, each side has a home; a Home that
// sees only a part of the known nodes shares out only that part of the rate.
// A new Home grants nothing for one Lease, until its predecessor's shares have
// lapsed.
package limit
