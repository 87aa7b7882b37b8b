package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// behavior is how a worker treats one request. It is set by a case.
	behavior struct {
		// work is how long the request runs.
		work time.Duration
		// refuse makes the worker answer 503 with Figwick-Not-Run.
		refuse bool
		// repeatLate makes the worker send its answer once more, when the next request
		// comes on the connection.
		repeatLate bool
	}

	// worker is a stand-in for an application worker.
	worker struct {
		id, service, zone string
		slots             int
		address           string
		control           string
		born              int64
		sequence          atomic.Uint64
		record            *recorder
		behave            func(id string) behavior
		listener          net.Listener
		free              chan struct{}
		waiting           atomic.Int64
		done              chan struct{}
		runs              *runTable
		// streams makes the worker send its answers without a length, in pieces, each
		// ended by the end of the connection.
		streams bool
		// isDark is set while the machine has no power: nothing is read or sent.
		isDark    atomic.Bool
		connMutex sync.Mutex
		conns     map[net.Conn]struct{}
	}

	// run is one run of a request at a worker.
	run struct {
		worker     string
		start, end time.Time
		// handed is the time that Figwick-Deadline-Ms left for the run, cut is whether the
		// worker stopped then.
		handed time.Duration
		cut    bool
	}

	// runTable holds the runs of all workers by request id.
	runTable struct {
		mutex sync.Mutex
		runs  map[string][]*run
	}
)

// queueLength is how many requests wait for a slot of a worker.
const queueLength = 24

func newRunTable() *runTable {
	return &runTable{runs: map[string][]*run{}}
}

func (t *runTable) begin(id, worker string, handed time.Duration) *run {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r := &run{worker: worker, start: time.Now(), handed: handed}
	t.runs[id] = append(t.runs[id], r)
	return r
}

func (t *runTable) finish(r *run, cut bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r.end, r.cut = time.Now(), cut
}

// of returns copies of the runs of a request.
func (t *runTable) of(id string) []run {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var found []run
	for _, r := range t.runs[id] {
		found = append(found, *r)
	}
	return found
}

// start begins to serve and to send heartbeats.
func (w *worker) start() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.listener, w.born, w.done = l, time.Now().UnixMilli(), make(chan struct{})
	w.free = make(chan struct{}, w.slots)
	w.conns = map[net.Conn]struct{}{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.connMutex.Lock()
			w.conns[c] = struct{}{}
			w.connMutex.Unlock()
			go w.serve(c)
		}
	}()
	go w.sendHeartbeats()
	return nil
}

func (w *worker) stop() {
	close(w.done)
	_ = w.listener.Close()
	w.connMutex.Lock()
	defer w.connMutex.Unlock()
	for c := range w.conns {
		_ = c.Close()
	}
}

// dark takes the power from the worker's machine: its connections stay, silent.
func (w *worker) dark() {
	w.isDark.Store(true)
}

func (w *worker) sendHeartbeats() {
	client := &http.Client{Timeout: time.Second}
	for {
		if w.isDark.Load() {
			return
		}
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots,
			"state": "ready", "cold_left": "0ms", "seq": w.sequence.Add(1), "born": w.born,
		})
		url := fmt.Sprintf("http://%s/api/instances/%s/heartbeat", w.control, w.id)
		if response, err := client.Post(url, "application/json", bytes.NewReader(body)); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-w.done:
			return
		}
	}
}

// serve answers the requests of one connection, one after the other.
func (w *worker) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.connMutex.Lock()
		delete(w.conns, c)
		w.connMutex.Unlock()
	}()
	reader := bufio.NewReader(c)
	var late []byte
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if late != nil {
			w.record.note("extra   worker %s sends its previous answer once more", w.id)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		if w.isDark.Load() {
			<-w.done
			return
		}
		answer, repeat := w.answer(r)
		if w.streams {
			w.stream(c, answer)
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if repeat {
			late = answer
		}
	}
}

// stream sends an answer in pieces, as long as the machine has power.
func (w *worker) stream(c net.Conn, answer []byte) {
	head, body, _ := bytes.Cut(answer, []byte("\r\n\r\n"))
	if !w.isDark.Load() {
		_, _ = c.Write(append(head, "\r\n\r\n"...))
	}
	for i := range pieces {
		time.Sleep(pieceGap)
		if w.isDark.Load() {
			<-w.done
			return
		}
		if _, err := c.Write(body[i*len(body)/pieces : (i+1)*len(body)/pieces]); err != nil {
			return
		}
	}
}

// answer runs a request, or refuses it, and returns the answer's bytes.
func (w *worker) answer(r *http.Request) (answer []byte, repeatLate bool) {
	id := r.Header.Get("Figwick-Attempt-Id")
	if r.URL.Path == "/health" {
		return w.format(http.StatusOK, "", "", map[string]string{"Figwick-Instance": w.id}), false
	}
	if id == "" {
		return w.format(http.StatusBadRequest, "", "", map[string]string{"Figwick-Not-Run": "1"}), false
	}
	if expected := r.Header.Get("Figwick-Expect-Instance"); expected != "" && expected != w.id {
		return w.format(http.StatusMisdirectedRequest, id, "", map[string]string{"Figwick-Instance": w.id, "Figwick-Not-Run": "1"}), false
	}
	b := w.behave(id)
	deadline := time.Now().Add(time.Minute)
	if ms, err := strconv.Atoi(r.Header.Get("Figwick-Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if b.refuse || !w.takeSlot(deadline) {
		w.record.note("refuse  %s worker %s: 503, not run", id, w.id)
		return w.format(http.StatusServiceUnavailable, id, "", map[string]string{"Figwick-Not-Run": "1"}), b.repeatLate
	}
	defer func() { <-w.free }()
	left := time.Until(deadline)
	run := w.runs.begin(id, w.id, left)
	w.record.note("run     %s worker %s begins, %d ms of work, %d ms until its deadline", id, w.id, b.work.Milliseconds(), left.Milliseconds())
	status := http.StatusOK
	if b.work > left {
		status = http.StatusGatewayTimeout
	}
	time.Sleep(min(b.work, left))
	w.runs.finish(run, b.work > left)
	w.record.note("run     %s worker %s ends with %d", id, w.id, status)
	return w.format(status, id, string(bodyOf(id, w.id)), map[string]string{"Figwick-Stamp": "s." + w.id + "." + id}), b.repeatLate
}

// bodyOf returns the body of a worker's answer to a request.
func bodyOf(id, worker string) []byte {
	return []byte("<answer of " + worker + " to " + id + ">\n")
}

// takeSlot waits for a slot until the deadline. It reports false if the queue is full or
// the deadline has passed.
func (w *worker) takeSlot(deadline time.Time) bool {
	select {
	case w.free <- struct{}{}:
		return true
	default:
	}
	if w.waiting.Add(1) > queueLength {
		w.waiting.Add(-1)
		return false
	}
	defer w.waiting.Add(-1)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case w.free <- struct{}{}:
		return true
	case <-timer.C:
		return false
	}
}

// format returns the bytes of an answer.
func (w *worker) format(status int, id, body string, fields map[string]string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "Figwick-Attempt-Id: %s\r\n", id)
	}
	for name, value := range fields {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if w.streams {
		fmt.Fprintf(&b, "Connection: close\r\n\r\n%s", body)
		return b.Bytes()
	}
	fmt.Fprintf(&b, "Keep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return b.Bytes()
}
