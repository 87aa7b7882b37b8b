package node_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/server"
)

// TestCutResponseToHTTP10 guards against a success that a caller of HTTP/1.0 takes for whole although the
// backend server broke it off. Without a length, such a response ends with its connection, so
// that one must end with an error.
func TestCutResponseToHTTP10(t *testing.T) {
	part := bytes.Repeat([]byte("0123456789abcdef"), 1<<14)
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprintf("cut=%t", cut), func(t *testing.T) {
			b := start(t, 2, 1, server.Config{Handler: func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(part)
				if cut {
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			}})
			r := b.request(1, http.MethodGet, "/lookup", nil)
			c, err := net.Dial("tcp", r.URL.Host)
			assert.NilError(t, err)
			defer c.Close()
			_, err = fmt.Fprintf(c, "GET /lookup HTTP/1.0\r\nHost: %s\r\n\r\n", r.Host)
			assert.NilError(t, err)
			text, err := io.ReadAll(c)
			if cut {
				failed := bytes.HasPrefix(text, []byte("HTTP/1.0 5"))
				assert.Check(t, err != nil || failed, "%d bytes end without an error", len(text))
				return
			}
			assert.NilError(t, err)
			assert.Check(t, bytes.HasSuffix(text, part), "%d bytes", len(text))
		})
	}
}
