// Package retry decides whether a request gets another attempt, and bounds the
// extra load that retries cause.
//
// A Budget is a token bucket. Each request adds a fraction of a token, and each
// retry, an attempt at a request that a backend server may already have had,
// takes a whole one. Attempts that were refused before they started cost the
// backend servers nothing and take no token. Plan limits their number instead,
// separately from the other attempts if MaxRefused is set.
//
// A fleet keeps a bound of its own by Share: the retries of all nodes in any
// window are at most the tokens saved at its start, those added over time and
// those that the window's requests earn. The Budgets then belong to the sidecars.
// They see all requests to a service and are fewer than the ingresses; at each
// ingress the share of the base would be one token or less. A sidecar without a
// token refuses the retry, and the ingress asks another one, which may have
// plenty.
//
//	budget.Earn(now, percent)
//	plan.Begin()
//	plan.End(outcome)
//	if plan.Next(now) == retry.TryAgain { … }
package retry
