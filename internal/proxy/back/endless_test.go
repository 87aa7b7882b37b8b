package back_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEndlessResponseHeader guards against a backend server that fills the memory of the
// node with a response header, or with informational responses, that never end.
func TestEndlessResponseHeader(t *testing.T) {
	for _, c := range []struct{ name, start, repeated string }{
		{"status line", "HTTP/1.1 200 ", strings.Repeat("O", 1<<10)},
		{"fields", "HTTP/1.1 200 OK\r\n", strings.Repeat("X-Field: "+strings.Repeat("v", 1<<10)+"\r\n", 8)},
		{"one field", "HTTP/1.1 200 OK\r\nX-Field: ", strings.Repeat("v", 1<<10)},
		{"informational", "", "HTTP/1.1 103 Early Hints\r\nX-Field: " + strings.Repeat("v", 1<<10) + "\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			const endless = 32 << 20
			sent := make(chan int, 1)
			f := serve(t, func(s *serverConn) {
				s.readRequest()
				n, _ := io.WriteString(s, c.start)
				for n < endless {
					written, err := io.WriteString(s, c.repeated)
					n += written
					if err != nil {
						return
					}
				}
				sent <- n
				<-t.Context().Done()
			})
			failed := make(chan error, 1)
			go func() {
				_, err := f.roundTrip(t.Context(), "a", strings.NewReader("body"))
				failed <- err
			}()
			select {
			case err := <-failed:
				assert.Check(t, err != nil)
			case n := <-sent:
				t.Fatalf("%d bytes were read and the exchange goes on", n)
			case <-time.After(time.Minute):
				t.Fatal("the exchange goes on")
			}
		})
	}
}
