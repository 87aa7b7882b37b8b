package logs_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/logs"
)

// reader is the far end of standard output, which may be stuck.
type reader struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

// Write takes a line unless the reader is stuck.
func (r *reader) Write(p []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.text.Write(p)
}

func (r *reader) lines(part string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return strings.Count(r.text.String(), part)
}

// TestStuckReader: a reader that takes nothing holds up nobody, and what was
// dropped is told once it reads again.
func TestStuckReader(t *testing.T) {
	r := &reader{}
	w := logs.NewWriter(r, logs.Config{Clock: clockwork.NewRealClock(), Lines: 10, PerSecond: 1000})
	r.mutex.Lock()
	for i := range 100 {
		n, err := fmt.Fprintf(w, "{\"@level\":\"warn\",\"n\":%d}\n", i)
		assert.NilError(t, err)
		assert.Check(t, n > 0)
	}
	r.mutex.Unlock()
	assert.NilError(t, w.Close())
	written := r.lines(`"n":`)
	assert.Check(t, written >= 10 && written <= 12, "%d", written)
	assert.Equal(t, r.lines(fmt.Sprintf(`"lines":%d`, 100-written)), 1)
}

// TestCommonLinesAreBounded: a flood of common lines leaves the others alone.
func TestCommonLinesAreBounded(t *testing.T) {
	r := &reader{}
	clock := clockwork.NewFakeClock()
	w := logs.NewWriter(r, logs.Config{Clock: clock, Lines: 1000, PerSecond: 20})
	for range 300 {
		_, _ = w.Write([]byte("{\"@level\":\"info\",\"a\":1}\n"))
	}
	_, _ = w.Write([]byte("{\"@level\":\"error\",\"b\":1}\n"))
	clock.Advance(time.Second)
	_, _ = w.Write([]byte("{\"@level\":\"info\",\"a\":1}\n"))
	assert.NilError(t, w.Close())
	assert.Equal(t, r.lines(`"a":1`), 21)
	assert.Equal(t, r.lines(`"b":1`), 1)
	assert.Equal(t, r.lines(`log-lines-dropped`), 1)
}

func BenchmarkWrite(b *testing.B) {
	w := logs.NewWriter(&reader{}, logs.Config{Clock: clockwork.NewRealClock()})
	line := []byte(`{"@level":"info","@message":"request-refused","request":"9c41d07be2a35f68"}` + "\n")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = w.Write(line)
	}
}
