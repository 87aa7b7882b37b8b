package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/server"
	"github.com/figwick/figwick/internal/proxy/front"
)

// TestMalformedResponsesAreReported guards against a backend server whose malformed response
// is taken for a failure of the path to its node.
func TestMalformedResponsesAreReported(t *testing.T) {
	for _, c := range []struct{ name, line string }{
		{"short", "no field"},
		{"long", strings.Repeat("no field ", 1000)},
		{"not UTF-8", "no field \xff"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := start(t, 2, 1, server.Config{Handler: func(w http.ResponseWriter, _ *http.Request) {
				raw, _, err := http.NewResponseController(w).Hijack()
				if assert.Check(t, err) {
					_, _ = raw.Write([]byte("HTTP/1.1 200 OK\r\n" + c.line + "\r\n\r\n"))
					_ = raw.Close()
				}
			}})
			response, text := b.do(b.request(1, http.MethodPost, "/orders", nil))
			assert.Equal(t, response.StatusCode, http.StatusBadGateway, text)
			assert.Equal(t, problemOf(t, response, text).Step, "request")
		})
	}
}

// TestInvalidStatusIsNoResponse guards against a caller who gets a response without meaning, or waits until
// its deadline, because a backend server sends a status that none has and keeps the connection open. The
// order is answered with 502, since it may have run; the read is served by another attempt.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			var sent atomic.Bool
			b := start(t, 2, 1, server.Config{Handler: func(w http.ResponseWriter, _ *http.Request) {
				if !sent.CompareAndSwap(false, true) {
					return
				}
				raw, _, err := http.NewResponseController(w).Hijack()
				if assert.Check(t, err) {
					defer raw.Close()
					_, _ = raw.Write([]byte("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n"))
					_, _ = raw.Read(make([]byte, 1))
				}
			}})
			response, text := b.do(b.request(1, http.MethodPost, "/orders", nil))
			assert.Equal(t, response.StatusCode, http.StatusBadGateway, text)
			assert.Equal(t, problemOf(t, response, text).Step, "request")
			sent.Store(false)
			response, text = b.do(b.request(1, http.MethodGet, "/orders", nil))
			assert.Equal(t, response.StatusCode, http.StatusOK, text)
		})
	}
}

// TestBrokenFieldIsNoResponse guards against a caller who gets a response of which a line was lost, because its
// backend server has sent no field in that line. The order may have run.
func TestBrokenFieldIsNoResponse(t *testing.T) {
	var line atomic.Value
	b := start(t, 2, 1, server.Config{Handler: func(w http.ResponseWriter, _ *http.Request) {
		raw, _, err := http.NewResponseController(w).Hijack()
		if assert.Check(t, err) {
			defer raw.Close()
			_, _ = fmt.Fprintf(raw, "HTTP/1.1 200 OK\r\nX: y\r\n%s\r\n\r\nbody", line.Load())
			_ = raw.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, raw)
		}
	}})
	for _, broken := range []string{"Content-Length : 4", "Content-Length\x01: 4", "X Y: z", " Content-Length: 4"} {
		line.Store(broken)
		for name, send := range uploads(t) {
			t.Run(fmt.Sprintf("%q, %s", broken, name), func(t *testing.T) {
				ctx, cancel := context.WithTimeout(b.ctx, 20*time.Second)
				defer cancel()
				response, text, err := send(ctx, b)
				if err != nil && ctx.Err() == nil {
					return // The upload broke off.
				}
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusBadGateway, "%s", text)
				assert.Equal(t, response.Header.Get(front.OutcomeHeader), front.OutcomeUnknown)
			})
		}
	}
}

// TestBrokenTrailerIsVisible guards against a response that a caller takes for whole, although a line behind its body
// is no field. The backend server has sent it at once, or a part that is passed on before.
func TestBrokenTrailerIsVisible(t *testing.T) {
	for _, size := range []int{4, 200_000} {
		b := start(t, 2, 1, server.Config{Handler: func(w http.ResponseWriter, _ *http.Request) {
			raw, _, err := http.NewResponseController(w).Hijack()
			if assert.Check(t, err) {
				defer raw.Close()
				_, _ = fmt.Fprintf(raw, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", size, strings.Repeat("x", size))
				_, _ = io.WriteString(raw, "0\r\nSum : 7\r\n\r\n")
				_, _ = raw.Read(make([]byte, 1))
			}
		}})
		for name, get := range getters(t) {
			t.Run(fmt.Sprintf("%s, %d bytes", name, size), func(t *testing.T) {
				ctx, cancel := context.WithTimeout(b.ctx, 20*time.Second)
				defer cancel()
				response, text, err := get(ctx, b)
				assert.NilError(t, ctx.Err())
				if err == nil {
					assert.Equal(t, response.StatusCode, http.StatusBadGateway, "%d bytes are the whole", len(text))
				}
			})
		}
	}
}
