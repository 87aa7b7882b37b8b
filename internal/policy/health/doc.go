// Package health detects unhealthy backend servers from the outcomes of real requests.
//
// A Tracker follows the backend servers of one service behind one sidecar. The sidecar
// reports the start and the outcome of every request, and the Tracker returns
// operations: which server to eject, to put on trial and to return to service.
//
//	ops := tracker.Finish(t, server, attempt, health.Result{Outcome: health.OK, Took: took})
//
// Each server has two cumulative sums (CUSUM) of log-likelihood ratios, one for failures
// and one for latency. Both compare it with the Baseline of the service's other servers.
// The alarm threshold trades detection time against false ejections and follows the
// service's preference. The age of a request in flight is evidence too, and grows with
// time, so that a hanging server is found before the first timeout.
//
// An alarm alone does not eject a server. The evidence since the sum last left zero is
// scored again, against what the other servers did in the same period. If they did as
// badly, the whole service is slow or failing and no single server is ejected.
//
// An ejected server is held out for a time that doubles with each repeated ejection (the
// ejection hold). It then goes on trial with a small share of the repeatable requests, and
// returns to service after enough good responses.
//
// A server without others to compare it with is scored against Config.Prior, if one is
// set, with latencies relative to each request's target latency.
package health
