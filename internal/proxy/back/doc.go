// Package back is an HTTP/1.1 client for backend servers with a pool of
// persistent connections.
//
// Unlike http.Transport it never sends a request twice on its own, reports
// whether any byte of a request was sent (ErrUnsent), discards responses that
// belong to another request, and closes a connection that may still hold bytes
// that belong to no request. Bytes that cannot become a response to the request
// (ErrInvalidResponse) end the exchange as soon as they arrive. A response without a
// length ends with its connection only if the server has closed that in order.
//
//	response, err := pool.Do(ctx, address, request, back.Options{})
package back
