package keys_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/kvs"
	"github.com/figwick/figwick/internal/state/keys"
	"github.com/figwick/figwick/internal/state/store"
)

// noticing is a store that calls notice with each write, as a node does that learns of a restore by a
// response.
type noticing struct {
	*kvs.Store
	notice func()
}

func (s *noticing) CAS(
	ctx context.Context, key string, value []byte, version store.Version, lease store.Lease,
) (store.Item, error) {
	item, err := s.Store.CAS(ctx, key, value, version, lease)
	s.notice()
	return item, err
}

var key = keys.Key{Service: "ledger", Caller: "chandler", Text: "order-1"}

// TestAnswerIsRecordedAfterRestore guards against a second run of a request whose answer could not be
// recorded: the store came back from an older copy between the claim and the answer. The copy is from
// before the claim or from after it, and the node has a lease that the store lost.
func TestAnswerIsRecordedAfterRestore(t *testing.T) {
	for _, copied := range []string{"before the claim", "after the claim"} {
		t.Run(copied, func(t *testing.T) {
			s := kvs.New(clockwork.NewFakeClock())
			a := keys.NewRegistry(keys.Config{Store: s, Clock: clockwork.NewFakeClock()})
			b := keys.NewRegistry(keys.Config{Store: s, Clock: clockwork.NewFakeClock()})
			saved := s.Snapshot()
			claim, err := a.Claim(t.Context(), key)
			assert.NilError(t, err)
			if copied == "after the claim" {
				saved = s.Snapshot()
			}
			s.Restore(saved)
			assert.NilError(t, a.Finish(t.Context(), claim, keys.Answer{Status: 201, Body: []byte("placed")}))
			other, err := b.Claim(t.Context(), key)
			assert.NilError(t, err)
			assert.Equal(t, other.State, keys.Done)
			assert.Equal(t, string(other.Answer.Body), "placed")
		})
	}
}

// TestAnswerLeavesOtherClaim guards against a record of another submission that is replaced: it claimed
// the key after the store had come back from a copy without the first claim.
func TestAnswerLeavesOtherClaim(t *testing.T) {
	s := kvs.New(clockwork.NewFakeClock())
	a := keys.NewRegistry(keys.Config{Store: s, Clock: clockwork.NewFakeClock()})
	b := keys.NewRegistry(keys.Config{Store: s, Clock: clockwork.NewFakeClock()})
	saved := s.Snapshot()
	claim, err := a.Claim(t.Context(), key)
	assert.NilError(t, err)
	s.Restore(saved)
	_, err = b.Claim(t.Context(), key)
	assert.NilError(t, err)
	assert.ErrorIs(t, a.Finish(t.Context(), claim, keys.Answer{Status: 201}), store.ErrConflict)
	other, err := b.Claim(t.Context(), key)
	assert.NilError(t, err)
	assert.Equal(t, other.State, keys.Pending)
}

// TestClaimSurvivesRestore guards against a request that runs twice: the store came back from a copy
// without the claim of the first submission, which is running or has just been answered, and a second
// submission gets the key. The node of the second knows of the restore before its call or learns of it
// by the call.
func TestClaimSurvivesRestore(t *testing.T) {
	for _, answered := range []bool{false, true} {
		for _, aware := range []bool{false, true} {
			t.Run(fmt.Sprintf("answered=%t,aware=%t", answered, aware), func(t *testing.T) {
				clock := clockwork.NewFakeClock()
				s := kvs.New(clock)
				a := keys.NewRegistry(keys.Config{Store: s, Clock: clock})
				second := &noticing{Store: s}
				b := keys.NewRegistry(keys.Config{Store: second, Clock: clock})
				saved := s.Snapshot()
				claim, err := a.Claim(t.Context(), key)
				assert.NilError(t, err)
				if answered {
					assert.NilError(t, a.Finish(t.Context(), claim, keys.Answer{Status: 201}))
				}
				s.Restore(saved)
				second.notice = b.Settle
				if aware {
					b.Settle()
				}
				_, err = b.Claim(t.Context(), key)
				assert.ErrorIs(t, err, keys.ErrUnavailable)
				second.notice = func() {}

				a.Settle()
				assert.NilError(t, a.WriteBack(t.Context()))
				clock.Advance(time.Minute)
				other, err := b.Claim(t.Context(), key)
				assert.NilError(t, err)
				want := keys.Pending
				if answered {
					want = keys.Done
				}
				assert.Equal(t, other.State, want)
			})
		}
	}
}

// TestWriteBackWaitsForRelease guards against a request that runs twice: while a claim is written again
// after a restore, its key belongs to a submission that is refused because of the restore and released.
func TestWriteBackWaitsForRelease(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := kvs.New(clock)
	a := keys.NewRegistry(keys.Config{Store: s, Clock: clock})
	b := keys.NewRegistry(keys.Config{Store: s, Clock: clock})
	saved := s.Snapshot()
	_, err := a.Claim(t.Context(), key)
	assert.NilError(t, err)
	s.Restore(saved)
	refused, err := b.Claim(t.Context(), key)
	assert.NilError(t, err)
	a.Settle()
	assert.ErrorIs(t, a.WriteBack(t.Context()), store.ErrConflict)
	assert.NilError(t, b.Release(t.Context(), refused))
	assert.NilError(t, a.WriteBack(t.Context()))
	other, err := b.Claim(t.Context(), key)
	assert.NilError(t, err)
	assert.Equal(t, other.State, keys.Pending)
}

// TestReleasedClaimIsNotWrittenBack guards against a key that stays taken although its request was not
// run, and against claims that are held for ever.
func TestReleasedClaimIsNotWrittenBack(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := kvs.New(clock)
	a := keys.NewRegistry(keys.Config{Store: s, Clock: clock})
	saved := s.Snapshot()
	claim, err := a.Claim(t.Context(), key)
	assert.NilError(t, err)
	assert.NilError(t, a.Release(t.Context(), claim))
	_, err = a.Claim(t.Context(), key)
	assert.NilError(t, err)
	clock.Advance(time.Hour)
	s.Restore(saved)
	assert.NilError(t, a.WriteBack(t.Context()))
	other, err := a.Claim(t.Context(), key)
	assert.NilError(t, err)
	assert.Equal(t, other.State, keys.Claimed)
}

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

// TestInvalidRecordIsNoAnswer guards against a stored answer without a meaning that is sent to the caller.
func TestInvalidRecordIsNoAnswer(t *testing.T) {
	for name, answer := range map[string]keys.Answer{
		"no status":     {Body: []byte("placed")},
		"informational": {Status: 103},
		"status 600":    {Status: 600},
		"broken name":   {Status: 200, Headers: map[string][]string{"Content-Length ": {"6"}}, Body: []byte("placed")},
	} {
		t.Run(name, func(t *testing.T) {
			r := keys.NewRegistry(keys.Config{Store: kvs.New(clockwork.NewFakeClock()), Clock: clockwork.NewFakeClock()})
			claim, err := r.Claim(t.Context(), key)
			assert.NilError(t, err)
			assert.NilError(t, r.Finish(t.Context(), claim, answer))
			_, err = r.Claim(t.Context(), key)
			assert.Check(t, errors.Is(err, keys.ErrUnavailable), "%v", err)
		})
	}
}
