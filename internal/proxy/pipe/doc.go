// Package pipe starts pipelined requests before their turn.
//
// With HTTP/1.1 a client may send further requests on a connection before the first is
// answered. http.Server handles them one after the other, so a slow one delays all behind
// it. Here the requests that may run more than once and have no body start when they
// arrive, up to a depth, and only their responses wait for their turn.
//
// The package lies around an http.Server without changing it:
//
//   - A conn, below http.Server, delivers the head of one message at a time and holds
//     back what follows, so that the following messages are not hidden in the server's
//     own buffer. It knows at which byte of the stream each message ends.
//   - While a handler runs, http.Server reads one byte in the background to notice the end
//     of the connection. The conn uses that call to read ahead into a bounded buffer. It
//     parses the messages there with http.ReadRequest and starts those that qualify with a
//     recorder in place of a response writer. The call returns no byte, only an error.
//   - When http.Server later reads such a message and calls its handler, the handler that
//     Pipeline returns finds the started exchange by the end of the message in the stream,
//     sends what has been recorded, and lets the rest pass.
//
// A message qualifies if it is a GET or HEAD of HTTP/1.1 without a body and without
// fields that concern the connection, and if Ingress.MayStartEarly says so. The first
// message that does not ends the look-ahead until the server has handled it, since a later
// request may depend on its effect. For the same reason nothing starts behind a request in
// progress that does not qualify itself.
//
// At most the depth less one messages are started behind the one whose turn it is. Each
// holds up to 64 KB of its response; beyond that, the handler's Write waits for its turn.
// When the connection ends, all that was started on it is canceled.
//
// The memory of all connections together is bounded too: when it is used up, no buffer grows
// and further requests start in their turn.
//
// Where the position of the next message is not known, the conn passes all bytes on
// and nothing is started any more: with HTTP/2, after a chunked body, or if the server and
// this package disagree about the end of a message.
package pipe
