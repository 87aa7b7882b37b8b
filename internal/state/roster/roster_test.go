package roster_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/state/roster"
)

var now = time.Unix(1_000_000, 0)

func announcement(incarnation int, s roster.State) roster.Announcement {
	return roster.Announcement{
		ID: "s", Service: "shop", Address: "10.0.0.1:80", Slots: 1,
		Incarnation: ident.Incarnation(incarnation), State: s,
	}
}

func TestRoster(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(t *testing.T, r *roster.Roster)
	}{
		{"an announcement of an older incarnation is refused", func(t *testing.T, r *roster.Roster) {
			_, err := r.Announce(now, announcement(2, roster.Serving))
			assert.NilError(t, err)
			_, err = r.Announce(now, announcement(1, roster.Serving))
			assert.ErrorIs(t, err, roster.ErrStale)
		}},
		{"a draining server does not return to serving", func(t *testing.T, r *roster.Roster) {
			_, _ = r.Announce(now, announcement(1, roster.Serving))
			_, _ = r.Announce(now, announcement(1, roster.Draining))
			change, err := r.Announce(now, announcement(1, roster.Serving))
			assert.NilError(t, err)
			assert.Equal(t, change.Server.State, roster.Draining)
		}},
		{"a server that left does not return with the same incarnation", func(t *testing.T, r *roster.Roster) {
			_, _ = r.Announce(now, announcement(1, roster.Serving))
			_, known := r.Leave("s", 1)
			assert.Check(t, known)
			_, err := r.Announce(now, announcement(1, roster.Serving))
			assert.ErrorIs(t, err, roster.ErrStale)
			change, err := r.Announce(now, announcement(2, roster.Serving))
			assert.NilError(t, err)
			assert.Check(t, change.New)
		}},
		{"a lease expires without a renewal, and a renewal registers the server again", func(t *testing.T, r *roster.Roster) {
			_, _ = r.Announce(now, announcement(1, roster.Serving))
			assert.Equal(t, len(r.Tick(now.Add(roster.Lease-1))), 0)
			changes := r.Tick(now.Add(roster.Lease))
			assert.Equal(t, len(changes), 1)
			assert.Check(t, changes[0].Gone)
			assert.Equal(t, len(r.Servers()), 0)
			change, err := r.Announce(now.Add(roster.Lease), announcement(1, roster.Serving))
			assert.NilError(t, err)
			assert.Check(t, change.New)
		}},
		{"a server that moved to another node is removed", func(t *testing.T, r *roster.Roster) {
			_, _ = r.Announce(now, announcement(1, roster.Serving))
			_, moved := r.RemoveMoved("s", 1)
			assert.Check(t, !moved)
			_, moved = r.RemoveMoved("s", 2)
			assert.Check(t, moved)
			assert.Equal(t, len(r.Servers()), 0)
		}},
	} {
		t.Run(c.name, func(t *testing.T) { c.run(t, &roster.Roster{}) })
	}
}
