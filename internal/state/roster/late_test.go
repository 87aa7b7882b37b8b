package roster_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/state/roster"
)

// word is what a server at one address says at a time of its own.
func word(id ident.Backend, born, sequence uint64, state roster.State) roster.Announcement {
	return roster.Announcement{
		ID: id, Service: "shop", Address: "10.0.0.9:80", Slots: 3,
		Incarnation: ident.Incarnation(born), Born: born, Sequence: sequence, State: state,
	}
}

// TestLateWord: what arrives late never undoes what was said later.
func TestLateWord(t *testing.T) {
	now := time.UnixMilli(5000)
	for _, c := range []struct {
		name    string
		earlier []roster.Announcement
		departs bool
		late    roster.Announcement
		stale   bool
	}{
		{
			"the next of the same start",
			[]roster.Announcement{word("a", 10, 1, roster.Serving)},
			false,
			word("a", 10, 2, roster.Serving), false,
		},
		{
			"the same once more",
			[]roster.Announcement{word("a", 10, 2, roster.Serving)},
			false,
			word("a", 10, 2, roster.Serving), true,
		},
		{
			"ready from before draining",
			[]roster.Announcement{word("a", 10, 5, roster.Draining)},
			false,
			word("a", 10, 4, roster.Serving), true,
		},
		{
			"ready after it has left",
			[]roster.Announcement{word("a", 10, 5, roster.Serving)},
			true,
			word("a", 10, 6, roster.Serving), true,
		},
		{
			"a new start under the same id counts anew",
			[]roster.Announcement{word("a", 10, 50, roster.Serving)},
			false,
			word("a", 20, 1, roster.Serving), false,
		},
		{
			"an older start under the same id",
			[]roster.Announcement{word("a", 20, 1, roster.Serving)},
			false,
			word("a", 10, 50, roster.Serving), true,
		},
		{
			"an older server at the address",
			[]roster.Announcement{word("b", 20, 1, roster.Serving)},
			false,
			word("a", 10, 50, roster.Serving), true,
		},
		{
			"a younger server at the address",
			[]roster.Announcement{word("b", 10, 50, roster.Serving)},
			false,
			word("a", 20, 1, roster.Serving), false,
		},
		{"one that left before this node knew it", nil, true, word("a", 10, 3, roster.Serving), true},
		{"a new start after it left unknown", nil, true, word("a", 6000, 1, roster.Serving), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r roster.Roster
			for _, a := range c.earlier {
				_, err := r.Announce(now, a)
				assert.NilError(t, err)
			}
			if c.departs {
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

// TestYoungerServerTakesTheAddress: the older one is forgotten at once.
func TestYoungerServerTakesTheAddress(t *testing.T) {
	now := time.UnixMilli(5000)
	var r roster.Roster
	_, err := r.Announce(now, word("a", 10, 1, roster.Serving))
	assert.NilError(t, err)
	changes, err := r.Supersede(word("b", 20, 1, roster.Serving))
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 1)
	assert.Check(t, changes[0].Gone)
	assert.Equal(t, changes[0].Server.ID, ident.Backend("a"))
}
