package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/state/roster"
)

const (
	retryAnnounce = 200 * time.Millisecond
	jsonType      = "application/json"
)

// announcer keeps a Server announced to one node of its list.
type announcer struct {
	server      *Server
	mutex       sync.Mutex
	incarnation uint64
	at          int
	stopped     bool
}

type announced struct {
	RenewAfterMS int64 `json:"renew-after-ms"`
	Allowed      bool  `json:"allowed"`
	Leaving      bool  `json:"leaving"`
}

func (a *announcer) run(ctx context.Context) {
	for ctx.Err() == nil && !a.isStopped() {
		wait := a.renew(ctx)
		select {
		case <-a.server.config.Clock.After(wait):
		case <-ctx.Done():
		}
	}
}

// renew announces once and returns when to do it again. A node that leaves or
// does not answer is followed by the next, with a higher incarnation.
func (a *announcer) renew(ctx context.Context) time.Duration {
	answer, err := a.put(ctx, roster.Serving)
	if err != nil || answer.Leaving {
		a.next()
		return retryAnnounce
	}
	return time.Duration(answer.RenewAfterMS) * time.Millisecond
}

func (a *announcer) next() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.at++
	a.incarnation++
}

func (a *announcer) current() (node string, incarnation uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	nodes := a.server.config.Nodes
	return nodes[a.at%len(nodes)], a.incarnation
}

func (a *announcer) stop() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.stopped = true
}

func (a *announcer) isStopped() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.stopped
}

// leave announces that the server drains.
func (a *announcer) leave(ctx context.Context) {
	a.stop()
	_, _ = a.put(ctx, roster.Draining)
}

func (a *announcer) put(ctx context.Context, state roster.State) (announced, error) {
	c := a.server.config
	node, incarnation := a.current()
	text, err := json.Marshal(roster.Announcement{
		ID:          c.ID,
		Service:     c.Service,
		Address:     a.server.Address(),
		Slots:       c.Slots,
		Incarnation: ident.Incarnation(incarnation),
		State:       state,
		Zone:        c.Zone,
	})
	if err != nil {
		return announced{}, errors.Wrap(err, "server: encode announcement")
	}
	url := fmt.Sprintf("http://%s/v1/backend-servers/%s", node, c.ID)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(text))
	if err != nil {
		return announced{}, errors.Wrap(err, "server: announce")
	}
	request.Header.Set("Content-Type", jsonType)
	response, err := c.Client.Do(request)
	if err != nil {
		return announced{}, errors.Wrapf(err, "server: announce to %s", node)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return announced{}, errors.Newf("server: announce to %s: status %d", node, response.StatusCode)
	}
	var answer announced
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer, errors.Wrapf(err, "server: announce to %s", node)
}
