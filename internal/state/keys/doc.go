// Package keys stores idempotency keys in the platform's key-value store.
//
// A non-repeatable request with an idempotency key claims the key before it runs.
// The claim is a record created by compare-and-swap, so that of several
// submissions, at any ingresses, only one gets the key and the others find its
// record. After the request has run, its answer is added to the record, and later
// submissions receive that answer. If the request is known not to have run, the
// record is deleted and the next submission may run.
//
// A claim with an unknown outcome stays until its lease ends. Later submissions
// are answered that the request may have been run.
package keys
