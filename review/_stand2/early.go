package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// An upload is sent in pieces, as over a slow uplink.
	uploadPieces = 6
	pieceBytes   = 10 << 10
	piecePause   = 150 * time.Millisecond
	// Each answer to an upload comes in two chunks.
	chunkBytes = 1200
	chunkPause = 150 * time.Millisecond
	// earlyWorkers of six answer earlyShare of the uploads before these are in, while the disruption lasts.
	earlyWorkers = 4
	earlyShare   = 0.4
	earlyTime    = 5 * time.Second
	// lostBound is how many requests LOST allows.
	lostBound = 3
)

// earlyAnswers lets workers answer some uploads before they have read the whole body. It shows
// answers that are cut on the way to the client, on connections that were kept.
func earlyAnswers(rec *record, trouble bool) (int, error) {
	const service = "huvo11a"
	c := configuration{version: "r3", service: []string{service}, rules: []map[string]any{
		rule("r-upload", "upload", "/pule252/", service, false, 2500*time.Millisecond, 5*time.Second, 1, 2),
	}}
	var early atomic.Bool
	answerEarly := func(w *worker, out http.ResponseWriter, r *http.Request) bool {
		if !early.Load() || !w.answersEarly || rand.Float64() >= earlyShare {
			return false
		}
		// net/http reads a body no further once an answer has begun, so the connection is taken over.
		conn, buffered, err := http.NewResponseController(out).Hijack()
		if err != nil {
			return false
		}
		defer conn.Close()
		id := r.Header.Get("Figwick-Attempt-Id")
		w.onRun(run{id: id, worker: w.id, path: r.URL.Path + " early", at: time.Now()})
		chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("a", chunkBytes))
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nFigwick-Attempt-Id: %s\r\nFigwick-Stamp: stand\r\nTransfer-Encoding: chunked\r\n\r\n%s", id, chunk)
		time.Sleep(chunkPause)
		_, _ = io.WriteString(conn, chunk+"0\r\n\r\n")
		// The worker reads on until the body is in or the node closes the connection.
		_, _ = io.CopyN(io.Discard, buffered, r.ContentLength)
		return true
	}
	work := func(int) time.Duration { return time.Duration(20+rand.IntN(60)) * time.Millisecond }
	f, err := newFleetWith(rec, sixMachines(service), nil, work, c.text(), workerHooks{before: answerEarly, answer: writeAnswer})
	defer f.close()
	if err != nil {
		return exitCannot, err
	}
	for _, w := range f.workers[:earlyWorkers] {
		w.answersEarly = true
	}
	time.Sleep(4 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var sending sync.WaitGroup
	for i, cl := range f.clients {
		for k := range 8 {
			sending.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					cl.do(ctx, request{
						id: fmt.Sprintf("u%d-%d-%04d", i, k, n), method: http.MethodPost, path: "/pule252/2f",
						body: strings.Repeat("u", uploadPieces*pieceBytes), piece: pieceBytes, pause: piecePause, deadline: 6 * time.Second,
					})
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		rec.note("%d workers answer %.2f of the uploads before these are in, for %s", earlyWorkers, earlyShare, earlyTime)
		early.Store(true)
	}
	time.Sleep(earlyTime)
	early.Store(false)
	time.Sleep(2 * time.Second)
	stop()
	sending.Wait()
	runs := rec.runsOf()
	answered, earlyRuns, cut := 0, 0, 0
	for _, r := range runs {
		if strings.HasSuffix(r[0].path, " early") {
			earlyRuns++
		}
	}
	for _, a := range rec.all() {
		switch {
		case a.status == http.StatusOK:
			answered++
		case a.status == 0 && !a.left && a.kept && len(runs[a.id]) > 0:
			cut++
			rec.note("%s to %s on a kept connection, run at %s: %v", a.id, a.node, runs[a.id][0].worker, a.err)
		}
	}
	rec.note("answered 200: %d; answered early by the worker: %d; cut without a whole answer: %d, LOST allows %d", answered, earlyRuns, cut, lostBound)
	if cut > lostBound {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// writeAnswer writes the answer to an upload that is in.
func writeAnswer(out http.ResponseWriter, r *http.Request) {
	out.Header().Set("Figwick-Attempt-Id", r.Header.Get("Figwick-Attempt-Id"))
	out.Header().Set("Figwick-Stamp", "stand")
	chunk := strings.Repeat("a", chunkBytes)
	_, _ = io.WriteString(out, chunk)
	_ = http.NewResponseController(out).Flush()
	time.Sleep(chunkPause)
	_, _ = io.WriteString(out, chunk)
}
