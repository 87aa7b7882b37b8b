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

// blockableOutput is an output that blocks while a test holds its mutex, like a pipe
// whose reader is stuck.
type blockableOutput struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

// Write stores a line. It blocks while the mutex is held.
func (r *blockableOutput) Write(p []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.text.Write(p)
}

// lines returns how often part occurs in the output.
func (r *blockableOutput) lines(part string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return strings.Count(r.text.String(), part)
}

// TestStuckReader checks that a blocked output does not block the logger, and that
// the number of dropped lines is logged once the output accepts writes again.
func TestStuckReader(t *testing.T) {
	r := &blockableOutput{}
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

// TestCommonLinesAreBounded checks that the limit drops only lines of level info.
func TestCommonLinesAreBounded(t *testing.T) {
	r := &blockableOutput{}
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
	w := logs.NewWriter(&blockableOutput{}, logs.Config{Clock: clockwork.NewRealClock()})
	line := []byte(`{"@level":"info","@message":"request-refused","request":"9c41d07be2a35f68"}` + "\n")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = w.Write(line)
	}
}
