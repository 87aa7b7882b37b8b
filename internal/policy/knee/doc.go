// Package knee learns how many requests at a time a backend server works on best.
//
// Some servers announce more slots than they can fill: with all of them busy each request
// takes so much longer that fewer end in a second. A Curve holds the service times of one
// server by the number of busy slots, and Limit returns the number at which the
// throughput is highest. Less than half of the announced slots is never returned, and all
// of them unless a lower number is clearly better, so a server that does not slow down
// keeps its slots.
//
// A limited server gives no samples above its limit. The old ones lose their weight, and
// without them the server is assumed not to slow down any further; the limit then rises by
// one slot at a time until new samples say otherwise. So exploring costs the few requests
// that are needed to learn again.
//
// Service times are divided by the mean of their kind, since a server that is busy with
// long requests is not slow. That mean has a long memory, or it would follow the load and
// hide the effect.
package knee
