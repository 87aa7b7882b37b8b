// Package nested infers which routes backend servers call while they work on requests
// of their own.
//
// A nested call is worth more than a new request: the request that waits for it holds a
// slot and has most of its work behind it. But nothing on the wire marks such calls, and
// they come from the same VM as the requests of ordinary callers.
//
// What tells them apart is where they come from. Callers are found beside the backend
// servers of all services, so their requests have all services as origins. A backend
// server calls from its own VM only, so the calls on a route for backend servers never
// have the services as origins whose backend servers don't make them. A Tracker counts
// the requests that reach one service by route and origin. It takes a route as nested if
// one of the origins of the other routes is missing from it, and its requests are too
// many for that to be chance.
//
// A route that is wrongly taken as nested gets slots before others of its service. A
// route that is not recognized waits like a new request.
//
//	tracker.Observe(now, route, origin)
//	if tracker.IsNested(route) { … before all others … }
package nested
