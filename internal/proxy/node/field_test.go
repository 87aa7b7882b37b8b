package node_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/server"
)

// TestFieldsOfAnyBytes guards against requests that fail, and responses that are lost after
// their request has run, because a header field holds bytes that are not UTF-8.
func TestFieldsOfAnyBytes(t *testing.T) {
	const name, value = "X-Name", "caf\xe9"
	got := make(chan string, 10)
	b := start(t, 2, 1, server.Config{Handler: func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header.Get(name) + r.RequestURI
		if r.URL.Path == "/response" {
			w.Header().Set(name, value)
		}
		_, _ = io.WriteString(w, "done")
	}})
	for _, c := range []struct{ path, field string }{
		{"/request", fmt.Sprintf("%s: %s\r\n", name, value)},
		{"/" + value, ""},
		{"/response", ""},
	} {
		t.Run(c.path, func(t *testing.T) {
			caller := dialCaller(t, b.Nodes[1].Callers)
			_, err := fmt.Fprintf(caller, "POST %s HTTP/1.1\r\nHost: shop.test\r\n%sContent-Length: 0\r\n\r\n", c.path, c.field)
			assert.NilError(t, err)
			response, err := caller.receive()
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK, "ran %d times", len(got))
			switch c.path {
			case "/request":
				assert.Equal(t, <-got, value+c.path)
			case "/response":
				assert.Equal(t, response.Header.Get(name), value)
			default:
				assert.Equal(t, <-got, c.path)
			}
		})
	}
}
