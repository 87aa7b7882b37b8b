package heads_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/heads"
)

// TestScannerInParts guards against a verdict that depends on how the bytes of a head arrive, and against one that
// changes when the reader goes on after an error.
func TestScannerInParts(t *testing.T) {
	for head, broken := range map[string]bool{
		"HTTP/1.1 200 OK\r\nX: y\r\n\r\n":                   false,
		"HTTP/1.1 200\n\nX Y: z\r\n":                        false,
		"HTTP/1.1 200 OK\r\n\r\n\r\n: body\x00":             false,
		"HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~: \r\nY:\n\r\n": false,
		"HTTP/1.1 200 OK\r\nX : y\r\n\r\n":                  true,
		"HTTP/1.1 200 OK\r\nX: y\r\n Z: y\r\n\r\n":          true,
		"HTTP/1.1 200 OK\r\n: y\r\n\r\n":                    true,
		"HTTP/1.1 200 OK\r\nX\r\n\r\n":                      true,
		"HTTP/1.1 200 OK\r\nX: y\r\n\rZ: y\r\n\r\n":         true,
	} {
		for size := 1; size <= len(head); size++ {
			t.Run(fmt.Sprintf("%q by %d", head, size), func(t *testing.T) {
				var s heads.Scanner
				for rest := head; rest != ""; {
					part := rest[:min(size, len(rest))]
					rest = rest[len(part):]
					_ = s.Scan([]byte(part))
				}
				assert.Equal(t, errors.Is(s.Scan(nil), heads.ErrBroken), broken)
			})
		}
	}
}
