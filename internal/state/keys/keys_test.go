package keys_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/kvs"
	"github.com/figwick/figwick/internal/state/keys"
)

var key = keys.Key{Service: "ledger", Caller: "chandler", Text: "order-1"}

func TestKeys(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(t *testing.T, s *kvs.Store, clock *clockwork.FakeClock, a, b *keys.Registry)
	}{
		{"one of two submissions claims", func(t *testing.T, _ *kvs.Store, _ *clockwork.FakeClock, a, b *keys.Registry) {
			claim, err := a.Claim(t.Context(), key)
			assert.NilError(t, err)
			assert.Equal(t, claim.State, keys.Claimed)
			other, err := b.Claim(t.Context(), key)
			assert.NilError(t, err)
			assert.Equal(t, other.State, keys.Pending)
		}},
		{"an answer is replayed", func(t *testing.T, _ *kvs.Store, _ *clockwork.FakeClock, a, b *keys.Registry) {
			claim, err := a.Claim(t.Context(), key)
			assert.NilError(t, err)
			assert.NilError(t, a.Finish(t.Context(), claim, keys.Answer{Status: 201, Body: []byte("placed")}))
			other, err := b.Claim(t.Context(), key)
			assert.NilError(t, err)
			assert.Equal(t, other.State, keys.Done)
			assert.Equal(t, string(other.Answer.Body), "placed")
		}},
		{"an oversized body is omitted", func(t *testing.T, _ *kvs.Store, _ *clockwork.FakeClock, a, b *keys.Registry) {
			claim, err := a.Claim(t.Context(), key)
			assert.NilError(t, err)
			assert.NilError(t, a.Finish(t.Context(), claim, keys.Answer{Status: 201, Body: make([]byte, keys.MaxAnswerBytes+1)}))
			other, err := b.Claim(t.Context(), key)
			assert.NilError(t, err)
			assert.Check(t, other.Answer.BodyOmitted)
		}},
		{"a released key can be claimed again", func(t *testing.T, _ *kvs.Store, _ *clockwork.FakeClock, a, b *keys.Registry) {
			claim, err := a.Claim(t.Context(), key)
			assert.NilError(t, err)
			assert.NilError(t, a.Release(t.Context(), claim))
			other, err := b.Claim(t.Context(), key)
			assert.NilError(t, err)
			assert.Equal(t, other.State, keys.Claimed)
		}},
		{"a claim whose reply was lost is recognised", func(t *testing.T, s *kvs.Store, _ *clockwork.FakeClock, a, b *keys.Registry) {
			s.Inject(kvs.Faults{LoseReplies: 1})
			claim, err := a.Claim(t.Context(), key)
			assert.NilError(t, err)
			assert.Equal(t, claim.State, keys.Claimed)
			other, err := b.Claim(t.Context(), key)
			assert.NilError(t, err)
			assert.Equal(t, other.State, keys.Pending)
		}},
		{"a store outage is reported", func(t *testing.T, s *kvs.Store, _ *clockwork.FakeClock, a, _ *keys.Registry) {
			s.Inject(kvs.Faults{Down: true})
			_, err := a.Claim(t.Context(), key)
			assert.Check(t, errors.Is(err, keys.ErrUnavailable), "%v", err)
		}},
		{"a lost lease is replaced", func(t *testing.T, s *kvs.Store, clock *clockwork.FakeClock, a, _ *keys.Registry) {
			_, err := a.Claim(t.Context(), key)
			assert.NilError(t, err)
			s.LapseLeases()
			claim, err := a.Claim(t.Context(), keys.Key{Service: "ledger", Caller: "chandler", Text: "order-2"})
			assert.NilError(t, err)
			assert.Equal(t, claim.State, keys.Claimed)
			clock.Advance(2 * keys.Window)
			claim, err = a.Claim(t.Context(), key)
			assert.NilError(t, err)
			assert.Equal(t, claim.State, keys.Claimed)
		}},
		{"keys of different callers are distinct", func(t *testing.T, _ *kvs.Store, _ *clockwork.FakeClock, a, b *keys.Registry) {
			_, err := a.Claim(t.Context(), key)
			assert.NilError(t, err)
			claim, err := b.Claim(t.Context(), keys.Key{Service: "ledger", Caller: "other", Text: "order-1"})
			assert.NilError(t, err)
			assert.Equal(t, claim.State, keys.Claimed)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			s := kvs.New(clock)
			a := keys.NewRegistry(keys.Config{Store: s, Clock: clock})
			b := keys.NewRegistry(keys.Config{Store: s, Clock: clock})
			c.run(t, s, clock, a, b)
		})
	}
}
