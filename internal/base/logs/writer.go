// Package logs keeps the writing of log lines from ever holding up work.
//
// A Writer takes lines from a logger, bounds how many of the common ones go out
// in a second, and writes them by a goroutine of its own. Lines that find no room
// are dropped and counted; the count is told in one line:
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
	// defaultLines is how many lines wait for a slow reader.
	defaultLines = 1024
	// defaultPerSecond bounds the common lines; what is rarer than a request
	// stays far below.
	defaultPerSecond = 200
	// tellEvery is how often dropped lines are told.
	tellEvery = time.Second
	// closeTimeout bounds the writing of what is left at the end.
	closeTimeout = 200 * time.Millisecond
)

// common begins the lines that are dropped first.
var common = []byte(`{"@level":"info"`)

type (
	// Config makes a Writer; zero fields are the package's.
	Config struct {
		Clock clockwork.Clock
		// Lines is how many wait for a slow reader.
		Lines int
		// PerSecond bounds the lines of level info.
		PerSecond int
	}

	// Writer takes whole log lines and never blocks.
	Writer struct {
		config Config
		out    io.Writer
		lines  chan []byte
		ended  chan struct{}
		done   chan struct{}
		once   sync.Once

		mutex   sync.Mutex
		second  time.Time
		written int
		dropped int
	}
)

// NewWriter returns a Writer that is running.
func NewWriter(out io.Writer, config Config) *Writer {
	config.Lines = cmp.Or(config.Lines, defaultLines)
	config.PerSecond = cmp.Or(config.PerSecond, defaultPerSecond)
	w := &Writer{
		config: config,
		out:    out,
		lines:  make(chan []byte, config.Lines),
		ended:  make(chan struct{}),
		done:   make(chan struct{}),
	}
	go w.run()
	return w
}

// Write takes one line, or drops it. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if bytes.HasPrefix(line, common) && !w.admit() {
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.drop()
	}
	return len(line), nil
}

// Close writes what is left, as far as the reader takes it soon.
func (w *Writer) Close() error {
	w.once.Do(func() { close(w.ended) })
	select {
	case <-w.done:
	case <-w.config.Clock.After(closeTimeout):
	}
	return nil
}

// admit counts a common line and tells whether the second has room for it.
func (w *Writer) admit() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if now := w.config.Clock.Now(); now.Sub(w.second) >= time.Second {
		w.second = now
		w.written = 0
	}
	w.written++
	if w.written > w.config.PerSecond {
		w.dropped++
		return false
	}
	return true
}

func (w *Writer) drop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.dropped++
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := w.config.Clock.NewTicker(tellEvery)
	defer ticker.Stop()
	tell := hclog.New(&hclog.LoggerOptions{Name: "figwick", JSONFormat: true, Output: w.out})
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		case <-ticker.Chan():
			w.tell(tell)
		case <-w.ended:
			w.flush()
			w.tell(tell)
			return
		}
	}
}

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

func (w *Writer) tell(log hclog.Logger) {
	w.mutex.Lock()
	dropped := w.dropped
	w.dropped = 0
	w.mutex.Unlock()
	if dropped > 0 {
		events.Emit(log, events.LinesDropped, "lines", dropped)
	}
}
