// Package retry bounds how much extra work retries may cause.
//
// A Budget earns a fraction of a token with every request and spends a whole
// one with every attempt that may run the request again. Attempts that were
// refused before they started cost the backend servers nothing and spend none;
// Plan bounds them by number instead, apart from the others where MostRefused is
// set. A Budget's Most is the node's part of what the whole fleet may save up.
//
//	budget.Earn(percent)
//	if plan.Next(outcome) == retry.Again { … }
package retry
