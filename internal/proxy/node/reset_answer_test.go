package node_test

import (
	"bufio"
	"bytes"
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

// exchange sends a request as one kind of caller and returns the response with its body. The error is that of an
// exchange that visibly broke off.
type exchange func(ctx context.Context, b *bench) (*http.Response, []byte, error)

// uploads are the kinds of callers that send an upload, by the version of HTTP.
func uploads(t *testing.T) map[string]exchange {
	return map[string]exchange{
		"HTTP/1.0":          uploadHTTP10,
		"HTTP/1.1, length":  uploadWith(t, false, func(r io.Reader) io.Reader { return r }),
		"HTTP/1.1, chunked": uploadWith(t, false, func(r io.Reader) io.Reader { return struct{ io.Reader }{r} }),
		"HTTP/2":            uploadWith(t, true, func(r io.Reader) io.Reader { return r }),
	}
}

// uploadWith returns the exchange of an upload by net/http's client. The form of the body decides whether it has a length.
func uploadWith(t *testing.T, http2 bool, form func(io.Reader) io.Reader) exchange {
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
	return readResponse(bufio.NewReader(c))
}

func readResponse(r *bufio.Reader) (*http.Response, []byte, error) {
	response, err := http.ReadResponse(r, nil)
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

// getters are the kinds of callers that only read, by the version of HTTP.
func getters(t *testing.T) map[string]exchange {
	kinds := map[string]exchange{}
	for name, head := range map[string]string{
		"HTTP/1.0":             "GET /lookup HTTP/1.0\r\nHost: shop.test\r\n\r\n",
		"HTTP/1.0, keep-alive": "GET /lookup HTTP/1.0\r\nHost: shop.test\r\nConnection: keep-alive\r\n\r\n",
		"HTTP/1.1":             "GET /lookup HTTP/1.1\r\nHost: shop.test\r\n\r\n",
		"HTTP/1.1, last":       "GET /lookup HTTP/1.1\r\nHost: shop.test\r\nConnection: close\r\n\r\n",
	} {
		kinds[name] = func(_ context.Context, b *bench) (*http.Response, []byte, error) {
			c := dialCaller(t, b.Nodes[1].Callers)
			defer c.Close()
			if _, err := io.WriteString(c, head); err != nil {
				return nil, nil, err
			}
			return readResponse(c.reader)
		}
	}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols, DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	kinds["HTTP/2"] = func(ctx context.Context, b *bench) (*http.Response, []byte, error) {
		response, err := transport.RoundTrip(b.request(1, http.MethodGet, "/lookup", nil).WithContext(ctx))
		if err != nil {
			return nil, nil, err
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		return response, text, err
	}
	return kinds
}

// TestCutResponseIsVisible guards against a part of a response that a caller takes for the whole, because its
// backend server has broken it off or the node beside that server has ended. A part had been
// passed on before.
func TestCutResponseIsVisible(t *testing.T) {
	const part = 300_000
	for name, c := range map[string]struct {
		fields string
		cut    func(b *bench, c *net.TCPConn)
	}{
		"length, closed":  {fmt.Sprintf("Content-Length: %d\r\n", 2*part), func(*bench, *net.TCPConn) {}},
		"length, reset":   {fmt.Sprintf("Content-Length: %d\r\n", 2*part), func(_ *bench, c *net.TCPConn) { _ = c.SetLinger(0) }},
		"chunks, closed":  {"Transfer-Encoding: chunked\r\n", func(*bench, *net.TCPConn) {}},
		"no length":       {"", func(_ *bench, c *net.TCPConn) { _ = c.SetLinger(0) }},
		"no length, node": {"", func(b *bench, _ *net.TCPConn) { b.Nodes[0].Kill() }},
	} {
		for kind := range getters(t) {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				var b *bench
				started := make(chan struct{})
				b = start(t, 2, 1, server.Config{Handler: func(w http.ResponseWriter, _ *http.Request) {
					<-started
					raw, _, err := http.NewResponseController(w).Hijack()
					if !assert.Check(t, err) {
						return
					}
					defer raw.Close()
					_, _ = fmt.Fprintf(raw, "HTTP/1.1 200 OK\r\n%s\r\n", c.fields)
					if strings.HasPrefix(c.fields, "Transfer") {
						_, _ = fmt.Fprintf(raw, "%x\r\n", part)
					}
					_, _ = raw.Write(make([]byte, part))
					time.Sleep(200 * time.Millisecond)
					c.cut(b, raw.(*net.TCPConn))
				}})
				close(started)
				response, text, err := getters(t)[kind](b.ctx, b)
				assert.Check(t, err != nil, "%d bytes are the whole", len(text))
				assert.NilError(t, b.ctx.Err())
				if response != nil {
					assert.Equal(t, response.StatusCode, http.StatusOK)
					assert.Check(t, len(text) > 0, "nothing was passed on before the cut")
				}
			})
		}
	}
}

// TestInformationalResponsesByVersion guards against a caller of HTTP/1.0 who takes an informational response, which its
// version does not have, for the response.
func TestInformationalResponsesByVersion(t *testing.T) {
	b := start(t, 2, 1, server.Config{Handler: odd})
	for _, version := range []string{"1.0", "1.1"} {
		c := dialCaller(t, b.Nodes[1].Callers)
		_, err := fmt.Fprintf(c, "GET /hints HTTP/%s\r\nHost: shop.test\r\n\r\n", version)
		assert.NilError(t, err)
		response, _, err := readResponse(c.reader)
		assert.NilError(t, err)
		want := map[string]int{"1.0": http.StatusOK, "1.1": http.StatusEarlyHints}[version]
		assert.Check(t, response.StatusCode == want, "HTTP/%s: status %d", version, response.StatusCode)
	}
}
