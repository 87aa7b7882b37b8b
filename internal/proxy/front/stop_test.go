package front_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/meter"
	"github.com/figwick/figwick/internal/peer/link"
	"github.com/figwick/figwick/internal/policy/route"
	"github.com/figwick/figwick/internal/proxy/front"
	"github.com/figwick/figwick/internal/state/config"
)

const (
	stopTarget = 1200 * time.Millisecond
	stopGrace  = 5500 * time.Millisecond
)

// countingOpener counts the streams that the ingress opens, and opens none.
type countingOpener struct{ opened int }

func (o *countingOpener) Open(context.Context, string) (*link.Stream, error) {
	o.opened++
	return nil, errors.New("no stream in this test")
}

func (o *countingOpener) Drop(string) {}

type noSidecars struct{}

func (noSidecars) Find(context.Context, ident.Service) []route.Sidecar { return nil }

func (noSidecars) Relays(string, int) []string { return nil }

// TestStopRefusesRequestsThatWouldBeCut guards against requests that are passed on late in a
// graceful stop and cut off while a backend server works on them.
func TestStopRefusesRequestsThatWouldBeCut(t *testing.T) {
	for _, c := range []struct {
		name     string
		after    time.Duration
		draining bool
		accepted bool
	}{
		{"at the start of the stop", 0, false, true},
		{"while callers notice the stop", 2 * time.Second, false, true},
		{"with less than the target left", 4300 * time.Millisecond, false, false},
		{"draining, with room for a slow request", 2600 * time.Millisecond, true, true},
		{"draining, with room for the target only", 3500 * time.Millisecond, true, false},
		{"draining, at the end", stopGrace, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			opener := &countingOpener{}
			s := front.NewServer(front.Config{
				Clock: clock, Random: eval.NewRandom(1), Log: hclog.NewNullLogger(), Meter: meter.New(tally.NoopScope),
				Links: opener, Finder: noSidecars{}, Relays: noSidecars{},
			})
			s.Configure(config.Compile(1, &config.File{
				Version:  1,
				Services: []config.Service{{Name: "shop", Deadline: 5 * time.Second, Retry: config.Retry{Attempts: 1}}},
				Hosts: []config.Host{{Name: "shop.test", Routes: []config.HostRoute{{
					Name: "orders", Prefix: "/", TargetLatency: stopTarget, Deadline: 5 * time.Second, Attempts: 1,
					Parts: []config.WeightedService{{Service: "shop", Weight: 1}},
				}}}},
			}))
			s.SetSidecars("shop", []route.Sidecar{{Address: "10.0.0.1:7", Node: "node-2", Slots: 3}})
			s.StopBy(t.Context(), clock.Now().Add(stopGrace))
			clock.Advance(c.after)
			if c.draining {
				s.Drain()
			}
			r := httptest.NewRequest(http.MethodPost, "http://shop.test/", http.NoBody)
			r.Host = "shop.test"
			w := httptest.NewRecorder()
			s.ServeHTTP(w, r)
			assert.Equal(t, opener.opened > 0, c.accepted, "streams opened: %d", opener.opened)
			if !c.accepted {
				assert.Equal(t, w.Code, http.StatusServiceUnavailable)
				assert.Check(t, w.Header().Get("Retry-After") != "")
			}
		})
	}
}
