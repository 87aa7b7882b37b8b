package back_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/proxy/back"
)

// TestBrokenFieldEndsExchange guards against a head with a line that is no field, of which the rest is used: the
// line may have been the length of the body. The server then keeps the connection open.
func TestBrokenFieldEndsExchange(t *testing.T) {
	const id = idHeader + ": 1\r\n"
	for _, line := range []string{
		"Content-Length : 4", "Content Length: 4", " Content-Length: 4", "\tContent-Length: 4", "Content-Length\t: 4",
		"Content-\x01Length: 4", "Content-Length\x00: 4", "Content-Length\r: 4", "\x7fContent-Length: 4", "Content-Length\x0b: 4",
		"Transfer-Encoding : chunked", "X Y: z", "X : z", ": z", " : z", "X", "X\x80: z", "X(Y): z", "\"X\": z",
	} {
		for place, head := range map[string]string{
			"first":         "HTTP/1.1 200 OK\r\n" + line + "\r\n" + id + "\r\n",
			"last":          "HTTP/1.1 200 OK\r\n" + id + line + "\r\n\r\n",
			"informational": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n" + id + "Content-Length: 0\r\n\r\n",
			"behind hints":  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + id + line + "\r\n\r\n",
			"line feeds":    "HTTP/1.1 200 OK\n" + id[:len(id)-2] + "\n" + line + "\n\n",
			"long head":     "HTTP/1.1 200 OK\r\n" + id + strings.Repeat("X-Filler: "+strings.Repeat("y", 100)+"\r\n", 100) + line + "\r\n\r\n",
		} {
			t.Run(fmt.Sprintf("%q, %s", line, place), func(t *testing.T) {
				t.Parallel()
				f := serve(t, func(c *serverConn) {
					if c.readRequest() != "" {
						_, _ = io.WriteString(c, head+"body")
						_, _ = io.Copy(io.Discard, c)
					}
				})
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				text, err := f.roundTrip(ctx, "1", strings.NewReader("body"))
				assert.Check(t, err != nil, "taken for a response, with the body %q", text)
				assert.Check(t, ctx.Err(), "the exchange waits for more")
			})
		}
	}
}

// TestOddFieldsPass guards against responses that fail because of fields that are odd but legal.
func TestOddFieldsPass(t *testing.T) {
	fields := []string{
		"!#$%&'*+-.^_`|~09azAZ: z", "0: 1", "x-lower: a", "X-EMPTY:", "X-Space:    ", "X-Tab:\tz\t", "X-Colon:: : z", "X-Bytes: caf\xe9 \"(z)\", =?",
		"-: -", "X_Y: z", "X-Long: " + strings.Repeat("z", 20_000), strings.Repeat("N", 5_000) + ": z",
	}
	f := serve(t, func(c *serverConn) {
		for id := c.readRequest(); id != ""; id = c.readRequest() {
			head := strings.Join(fields, "\r\n")
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n"+head+"\r\n\r\nHTTP/1.1 200\r\n"+head+"\r\n"+idHeader+": "+id)
			// The head ends in another packet, and behind it the body looks like a broken one.
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(c, "\r\nContent-Length: 9\r\n\r\n\r\nX Y: z\r\n")
		}
	})
	informed := 0
	for range 3 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+f.address+"/x", http.NoBody)
		assert.NilError(t, err)
		r.Header.Set(idHeader, "1")
		response, err := f.pool.Do(t.Context(), f.address, r, back.Options{OnInformational: func(int, http.Header) error {
			informed++
			return nil
		}})
		assert.NilError(t, err)
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(text), "\r\nX Y: z\r"[:9])
		assert.Equal(t, len(response.Header), len(fields)+2)
	}
	assert.Equal(t, informed, 3)
}

// TestBrokenTrailerIsNoEnd guards against a response in chunks that is taken for whole although a line behind its
// body is no field.
func TestBrokenTrailerIsNoEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\nTrailer: Sum, Never Sent\r\n\r\n4\r\nbody\r\n0\r\n"
	for line, broken := range map[string]bool{
		"Su m: 7": true, "Sum : 7": true, "Su\x01m: 7": true, " Sum: 7": true, "\tSum: 7": true, "Sum\x00: 7": true, "Sum": true, "Sum\r: 7": true,
		"S(um): 7": true, "Sum: 7\x01": true, "Sum: 7": false, "sum:7": false, "!#$%&'*+-.^_`|~: 7": false, "Sum:": false, "Other: a:b": false,
	} {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			f := serve(t, func(c *serverConn) {
				for c.readRequest() != "" {
					_, _ = io.WriteString(c, head+line+"\r\n\r\n")
				}
			})
			for range 2 {
				text, err := f.roundTrip(t.Context(), "1", strings.NewReader("body"))
				assert.Check(t, (err != nil) == broken, "body %q, error %v", text, err)
			}
			conns := int64(1)
			if broken {
				conns = 2
			}
			assert.Equal(t, f.conns.Load(), conns)
		})
	}
}
