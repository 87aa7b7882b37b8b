package back_test

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCutResponseIsNoSuccess guards against a success with an empty or short body that a caller takes for
// whole, because the backend server has closed in the middle of its response: of the head, of
// the head after an informational response, of a chunk's header or of the trailers.
func TestCutResponseIsNoSuccess(t *testing.T) {
	const id = idHeader + ": 1\r\n"
	for _, c := range []struct{ name, whole string }{
		{"length", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\n\r\nbody"},
		{"no body", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 0\r\n\r\n"},
		{"informational", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\n\r\nbody"},
		{"chunks", "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n4;name=value\r\nbody\r\n0\r\n\r\n"},
		{"trailers", "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n4\r\nbody\r\n0\r\nSum: 7\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			sent := make(chan int, 1)
			f := serve(t, func(s *serverConn) {
				s.readRequest()
				_, _ = io.WriteString(s, c.whole[:<-sent])
			})
			for n := range len(c.whole) {
				sent <- n
				text, err := f.roundTrip(t.Context(), "1", strings.NewReader("body"))
				assert.Check(t, err != nil, "%q is taken for whole, with the body %q", c.whole[:n], text)
			}
			sent <- len(c.whole)
			_, err := f.roundTrip(t.Context(), "1", strings.NewReader("body"))
			assert.NilError(t, err)
		})
	}
}
