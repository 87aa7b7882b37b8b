// Package keys keeps the records of idempotency keys in the platform's store.
//
// A request that must not repeat and bears a key is claimed before it runs: the
// record is created by compare-and-swap, so that of two submissions by any two
// ingresses one finds the other's. When it has run, its answer joins the record
// and later submissions get that answer. When it was truly not run, the record
// goes, and the next submission may run.
//
// A claim whose outcome nobody knows stays until its lease ends: later
// submissions are told that the request may have been run.
package keys
