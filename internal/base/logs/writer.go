// Package logs writes log lines without ever blocking the logger.
//
// A Writer buffers the lines of a logger and writes them in its own goroutine. It
// limits the number of lines of level info per second. Lines over that limit, and
// lines that do not fit the buffer, are dropped and counted. The count is logged as
// the event log-lines-dropped:
//
//	w := logs.NewWriter(os.Stdout, logs.Config{Clock: clock})
//	defer w.Close()
//	log := hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: w})
package logs

import (
	"bytes"
	"cmp"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/figwick/figwick/internal/base/events"
)

const (
	// defaultLines is the default size of the buffer, in lines.
	defaultLines = 1024
	// defaultPerSecond is the default limit for lines of level info. Events that
	// are rarer than requests stay far below it.
	defaultPerSecond = 200
	// reportInterval is the interval at which the number of dropped lines is logged.
	reportInterval = time.Second
	// closeTimeout is how long Close waits for buffered lines to be written.
	closeTimeout = 200 * time.Millisecond
)

// infoPrefix is the prefix of the lines that the limit per second applies to.
var infoPrefix = []byte(`{"@level":"info"`)

type (
	// Config configures a Writer. Clock is required.
	Config struct {
		Clock clockwork.Clock
		// Lines is the size of the buffer in lines; zero means 1024.
		Lines int
		// PerSecond limits the lines of level info per second; zero means 200.
		PerSecond int
	}

	// Writer is an io.Writer for whole log lines whose Write never blocks on the
	// output. It is safe for concurrent use.
	Writer struct {
		config Config
		out    io.Writer
		lines  chan []byte
		// closing is closed by Close, done by the writing goroutine at its end.
		closing chan struct{}
		done    chan struct{}
		once    sync.Once

		mutex sync.Mutex
		// intervalStart is the start of the present interval of one second, infoLines
		// the number of info lines in it, including those over the limit.
		intervalStart time.Time
		infoLines     int
		// dropped is the number of dropped lines that are not logged yet.
		dropped int
	}
)

// NewWriter returns a Writer and starts its goroutine, which Close ends.
func NewWriter(out io.Writer, config Config) *Writer {
	config.Lines = cmp.Or(config.Lines, defaultLines)
	config.PerSecond = cmp.Or(config.PerSecond, defaultPerSecond)
	w := &Writer{
		config:  config,
		out:     out,
		lines:   make(chan []byte, config.Lines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.run()
	return w
}

// Write buffers a copy of one line, or drops the line. The error is always nil.
func (w *Writer) Write(line []byte) (int, error) {
	if bytes.HasPrefix(line, infoPrefix) && !w.admit() {
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.countDropped()
	}
	return len(line), nil
}

// Close writes the buffered lines and the number of dropped ones, and ends the
// goroutine. It returns after closeTimeout even if the output still blocks.
func (w *Writer) Close() error {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-w.config.Clock.After(closeTimeout):
	}
	return nil
}

// admit counts an info line and reports whether it is within the limit per second.
func (w *Writer) admit() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if now := w.config.Clock.Now(); now.Sub(w.intervalStart) >= time.Second {
		w.intervalStart = now
		w.infoLines = 0
	}
	w.infoLines++
	if w.infoLines > w.config.PerSecond {
		w.dropped++
		return false
	}
	return true
}

// countDropped counts a line that did not fit the buffer.
func (w *Writer) countDropped() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.dropped++
}

// run writes lines until Close. The dropped lines are logged to the output directly,
// so that the report itself cannot be dropped.
func (w *Writer) run() {
	defer close(w.done)
	ticker := w.config.Clock.NewTicker(reportInterval)
	defer ticker.Stop()
	dropLog := hclog.New(&hclog.LoggerOptions{Name: "figwick", JSONFormat: true, Output: w.out})
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		case <-ticker.Chan():
			w.reportDropped(dropLog)
		case <-w.closing:
			w.flush()
			w.reportDropped(dropLog)
			return
		}
	}
}

// flush writes the lines in the buffer.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		default:
			return
		}
	}
}

// reportDropped logs the number of lines dropped since the last call, if any.
func (w *Writer) reportDropped(log hclog.Logger) {
	w.mutex.Lock()
	dropped := w.dropped
	w.dropped = 0
	w.mutex.Unlock()
	if dropped > 0 {
		events.Emit(log, events.LinesDropped, "lines", dropped)
	}
}
