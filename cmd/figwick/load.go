package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figwick/figwick/internal/fake/fleet"
)

const (
	// loadPause is the time between two requests of one demo caller.
	loadPause   = 20 * time.Millisecond
	loadCallers = 6
)

// load is the demo's callers.
type load struct {
	cancel  context.CancelFunc
	callers sync.WaitGroup
	whole   atomic.Int64
	failed  atomic.Int64
}

func startLoad(ctx context.Context, f *fleet.Fleet) *load {
	ctx, cancel := context.WithCancel(ctx)
	l := &load{cancel: cancel}
	for i := range loadCallers {
		l.callers.Go(func() { l.run(ctx, f.Nodes[i%len(f.Nodes)].Callers) })
	}
	return l
}

func (l *load) run(ctx context.Context, address string) {
	for ctx.Err() == nil {
		if l.once(ctx, address) {
			l.whole.Add(1)
		} else if ctx.Err() == nil {
			l.failed.Add(1)
		}
		select {
		case <-time.After(loadPause):
		case <-ctx.Done():
		}
	}
}

func (l *load) once(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/candles", nil)
	if err != nil {
		return false
	}
	request.Host = "shop.wickhollow.example"
	request.Header.Set("Organisation", "demo-"+address)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

func (l *load) stop(out io.Writer) {
	l.cancel()
	l.callers.Wait()
	fmt.Fprintf(out, "the demo's own callers got %d whole answers and %d others\n", l.whole.Load(), l.failed.Load())
}
