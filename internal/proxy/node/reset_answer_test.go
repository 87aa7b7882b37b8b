package node_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/sock"
	"github.com/figwick/figwick/internal/fake/server"
	"github.com/figwick/figwick/internal/proxy/front"
)

const (
	// uploadRounds is how often a caller of each kind sends an upload.
	uploadRounds = 15
	// uploadSize is the length of an upload in bytes. It exceeds the buffers between the caller and the
	// backend server.
	uploadSize = 3_900_000
)

// upload sends an upload as one kind of caller and returns the response with its body. The error is that of an
// exchange that visibly broke off.
type upload func(ctx context.Context, b *bench) (*http.Response, []byte, error)

// uploads are the kinds of callers, by the version of HTTP.
func uploads(t *testing.T) map[string]upload {
	return map[string]upload{
		"HTTP/1.0":          uploadHTTP10,
		"HTTP/1.1, length":  uploadWith(t, false, func(r io.Reader) io.Reader { return r }),
		"HTTP/1.1, chunked": uploadWith(t, false, func(r io.Reader) io.Reader { return struct{ io.Reader }{r} }),
		"HTTP/2":            uploadWith(t, true, func(r io.Reader) io.Reader { return r }),
	}
}

// uploadWith returns an upload by net/http's client. The form of the body decides whether it has a length.
func uploadWith(t *testing.T, http2 bool, form func(io.Reader) io.Reader) upload {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	transport := &http.Transport{Protocols: protocols, DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	return func(ctx context.Context, b *bench) (*http.Response, []byte, error) {
		r := b.request(1, http.MethodPost, "/orders", form(bytes.NewReader(make([]byte, uploadSize))))
		response, err := transport.RoundTrip(r.WithContext(ctx))
		if err != nil {
			return nil, nil, err
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		return response, text, err
	}
}

// uploadHTTP10 sends an upload over HTTP/1.0, whose responses may end with the connection.
func uploadHTTP10(ctx context.Context, b *bench) (*http.Response, []byte, error) {
	raw, err := net.Dial("tcp", b.Nodes[1].Callers)
	if err != nil {
		return nil, nil, err
	}
	defer raw.Close()
	defer context.AfterFunc(ctx, func() { _ = raw.Close() })()
	c := sock.ReportResets(raw)
	go func() {
		_, _ = fmt.Fprintf(c, "POST /orders HTTP/1.0\r\nHost: shop.test\r\nContent-Length: %d\r\n\r\n", uploadSize)
		_, _ = c.Write(make([]byte, uploadSize))
	}()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, text, err
}

// TestResetResponseIsNoSuccess guards against a part of a response that a caller takes for the whole, because
// the backend server has answered an upload at once, without a length, and has reset the connection
// while the upload was being written. The order may have run.
func TestResetResponseIsNoSuccess(t *testing.T) {
	for _, size := range []int{0, 1000, 200_000} {
		part := bytes.Repeat([]byte{'p'}, size)
		b := start(t, 2, 1, server.Config{Handler: func(w http.ResponseWriter, _ *http.Request) {
			raw, _, err := http.NewResponseController(w).Hijack()
			if !assert.Check(t, err) {
				return
			}
			_, _ = fmt.Fprintf(raw, "HTTP/1.1 200 OK\r\n\r\n%s", part)
			_ = raw.(*net.TCPConn).SetLinger(0)
			_ = raw.Close()
		}})
		for name, send := range uploads(t) {
			t.Run(fmt.Sprintf("%s, %d bytes", name, size), func(t *testing.T) {
				for round := range uploadRounds {
					ctx, cancel := context.WithTimeout(b.ctx, 20*time.Second)
					response, text, err := send(ctx, b)
					assert.NilError(t, ctx.Err())
					cancel()
					if err != nil {
						continue
					}
					assert.Equal(t, response.StatusCode, http.StatusBadGateway, "round %d: %d bytes", round, len(text))
					assert.Equal(t, response.Header.Get(front.OutcomeHeader), front.OutcomeUnknown)
				}
			})
		}
	}
}

// TestEarlyResponseWithoutLengthIsWhole guards against a whole response without a length that a caller does not
// get, because the backend server has ended it in order before it has read the upload.
func TestEarlyResponseWithoutLengthIsWhole(t *testing.T) {
	whole := bytes.Repeat([]byte("whole"), 2_000)
	var runs atomic.Int64
	b := start(t, 2, 1, server.Config{Handler: func(w http.ResponseWriter, _ *http.Request) {
		raw, _, err := http.NewResponseController(w).Hijack()
		if !assert.Check(t, err) {
			return
		}
		defer raw.Close()
		_, _ = fmt.Fprintf(raw, "HTTP/1.1 200 OK\r\n\r\n%s", whole)
		_ = raw.(*net.TCPConn).CloseWrite()
		if runs.Add(1)%2 == 0 {
			_, _ = io.Copy(io.Discard, raw)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}})
	for name, send := range uploads(t) {
		t.Run(name, func(t *testing.T) {
			for round := range uploadRounds {
				ctx, cancel := context.WithTimeout(b.ctx, 20*time.Second)
				response, text, err := send(ctx, b)
				cancel()
				assert.NilError(t, err, "round %d", round)
				assert.Equal(t, response.StatusCode, http.StatusOK, "round %d: %s", round, text)
				assert.Check(t, bytes.Equal(text, whole), "round %d: %d bytes", round, len(text))
			}
		})
	}
}
