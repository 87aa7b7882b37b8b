// Package health judges backend servers by the real requests they were given.
//
// A Tracker holds the backend servers of one service behind one sidecar. It is
// told when a request begins and how it ended, and answers with operations:
// which server to eject, to try and to return.
//
//	ops := tracker.Finish(t, server, attempt, health.Result{Outcome: health.OK, Took: took})
//
// The test is a cumulative sum of log-likelihood ratios (CUSUM), one for
// failures and one for latency, against the level of the service's other
// servers. Its threshold is the trade between detection time and false
// ejections, set by the service's preference. The age of a request still in
// flight counts as evidence while it grows, so that a server which hangs is
// found before the first timeout.
//
// An alarm is not yet an ejection. The evidence since the sum last left zero is
// scored again against what the other servers did over the same time; where
// they did as badly, the service is slow and no server is sick.
//
// An ejected server rests for a hold that doubles with each repeat, then gets a
// trickle of repeatable requests, and returns after a run of good answers.
//
// A server that has no others beside it is judged by a Prior, where one is set, with
// latencies relative to each request's target.
package health
