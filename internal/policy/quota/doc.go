// Package quota holds the requests to one backend server within the rate that the
// server has named.
//
// A server in need names in its responses how many requests a second it takes from all
// callers together, and stops naming it when it takes any number again. Its sidecar sees
// every request to it and every response, so the sidecar alone counts them: no node
// divides the rate with another, and it holds whatever the ingresses know.
//
// A Quota is a token bucket. It begins empty, and an idle server saves up one second of
// its rate. However low the rate is, even zero, the bucket fills at MinPerSecond: only
// a response can show that the server takes more again.
package quota
