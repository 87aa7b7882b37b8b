package roster_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/state/roster"
)

// announcementOf returns an announcement of a server that started at a time in Unix
// milliseconds. All servers have the same address.
func announcementOf(id ident.Backend, startedUnixMilli, sequence uint64, state roster.State) roster.Announcement {
	return roster.Announcement{
		ID: id, Service: "shop", Address: "10.0.0.9:80", Slots: 3,
		Incarnation: ident.Incarnation(startedUnixMilli), StartedUnixMilli: startedUnixMilli, Sequence: sequence, State: state,
	}
}

// TestLateAnnouncementIsStale checks that a delayed announcement never undoes a later
// one, nor a departure.
func TestLateAnnouncementIsStale(t *testing.T) {
	now := time.UnixMilli(5000)
	for _, c := range []struct {
		name     string
		earlier  []roster.Announcement
		departed bool
		late     roster.Announcement
		stale    bool
	}{
		{
			"the next announcement of the same incarnation",
			[]roster.Announcement{announcementOf("a", 10, 1, roster.Serving)},
			false,
			announcementOf("a", 10, 2, roster.Serving), false,
		},
		{
			"a duplicate announcement",
			[]roster.Announcement{announcementOf("a", 10, 2, roster.Serving)},
			false,
			announcementOf("a", 10, 2, roster.Serving), true,
		},
		{
			"serving from before draining",
			[]roster.Announcement{announcementOf("a", 10, 5, roster.Draining)},
			false,
			announcementOf("a", 10, 4, roster.Serving), true,
		},
		{
			"serving after the server has left",
			[]roster.Announcement{announcementOf("a", 10, 5, roster.Serving)},
			true,
			announcementOf("a", 10, 6, roster.Serving), true,
		},
		{
			"a new incarnation starts its sequence again",
			[]roster.Announcement{announcementOf("a", 10, 50, roster.Serving)},
			false,
			announcementOf("a", 20, 1, roster.Serving), false,
		},
		{
			"an older incarnation of the same id",
			[]roster.Announcement{announcementOf("a", 20, 1, roster.Serving)},
			false,
			announcementOf("a", 10, 50, roster.Serving), true,
		},
		{
			"an older server at the address",
			[]roster.Announcement{announcementOf("b", 20, 1, roster.Serving)},
			false,
			announcementOf("a", 10, 50, roster.Serving), true,
		},
		{
			"a younger server at the address",
			[]roster.Announcement{announcementOf("b", 10, 50, roster.Serving)},
			false,
			announcementOf("a", 20, 1, roster.Serving), false,
		},
		{"an unknown server that has left", nil, true, announcementOf("a", 10, 3, roster.Serving), true},
		{"a new incarnation of an unknown server that has left", nil, true, announcementOf("a", 6000, 1, roster.Serving), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r roster.Roster
			for _, a := range c.earlier {
				_, err := r.Announce(now, a)
				assert.NilError(t, err)
			}
			if c.departed {
				r.Depart(now, "a")
			}
			_, err := r.Supersede(c.late)
			if err == nil {
				_, err = r.Announce(now, c.late)
			}
			if c.stale {
				assert.ErrorIs(t, err, roster.ErrStale)
				return
			}
			assert.NilError(t, err)
		})
	}
}

// TestYoungerServerTakesTheAddress checks that a server is gone as soon as one
// that started later has its address.
func TestYoungerServerTakesTheAddress(t *testing.T) {
	now := time.UnixMilli(5000)
	var r roster.Roster
	_, err := r.Announce(now, announcementOf("a", 10, 1, roster.Serving))
	assert.NilError(t, err)
	changes, err := r.Supersede(announcementOf("b", 20, 1, roster.Serving))
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 1)
	assert.Check(t, changes[0].Gone)
	assert.Equal(t, changes[0].Server.ID, ident.Backend("a"))
}

// TestRestoredDepartureRemovesServer guards against a backend server that stays in use although its
// departure has been restored: a delayed announcement of it was accepted before.
func TestRestoredDepartureRemovesServer(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, incarnation := range []ident.Incarnation{5, 6} {
		var r roster.Roster
		a := roster.Announcement{ID: "i-1", Incarnation: 5, Sequence: 4, State: roster.Serving}
		_, err := r.Announce(now, a)
		assert.NilError(t, err)
		change, removed := r.RestoreDeparture(now, "i-1", incarnation)
		assert.Check(t, removed && change.Gone && change.Server.ID == "i-1", "%+v", change)
		assert.Equal(t, len(r.Servers()), 0)
		a.Sequence++
		_, err = r.Announce(now, a)
		assert.ErrorIs(t, err, roster.ErrStale)
		_, removed = r.RestoreDeparture(now, "i-1", incarnation)
		assert.Check(t, !removed)
		a.Incarnation = 7
		_, err = r.Announce(now, a)
		assert.NilError(t, err)
		_, removed = r.RestoreDeparture(now, "i-1", incarnation)
		assert.Check(t, !removed, "it has been started anew since")
	}
}
