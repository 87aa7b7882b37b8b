// Package back speaks HTTP/1.1 to backend servers over connections that it
// keeps.
//
// Unlike a general client it never sends a request twice by itself, tells
// whether any byte of a request has left (ErrUnsent), drops answers that belong
// to another request, and gives up a connection whenever bytes may be left on it
// that nobody asked for.
//
//	response, err := pool.Do(ctx, address, request)
package back
