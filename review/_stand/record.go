package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, one line each.
type recorder struct {
	mutex sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// note writes one line that begins with the seconds since the start.
func (r *recorder) note(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format, values...)
	fmt.Fprintln(r.out)
}

func (r *recorder) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
