package keys

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/state/store"
)

const (
	// settleTime is how long after the store has come back from an older copy no key is
	// claimed. By then all nodes know of it and have written their claims again.
	settleTime = 5 * time.Second
	// answerHoldTime is how long an answer is held after it has been recorded. A copy of the
	// store is seconds old.
	answerHoldTime = time.Minute
	// maxRunTime is how long a claim without an answer is held. No request runs for longer.
	maxRunTime = 10 * time.Minute
	// maxHeldAnswers is the largest number of answers that a node holds.
	maxHeldAnswers = 256
)

type (
	// heldClaims are the claims of a node that the store may lose: those that are running
	// and those that were answered a short time ago. It is safe for concurrent use.
	heldClaims struct {
		mutex sync.Mutex
		// running holds the times of the claims without an answer.
		running   map[*Claim]time.Time
		answered  []answeredClaim
		settledAt time.Time
	}

	answeredClaim struct {
		claim *Claim
		at    time.Time
	}
)

// Settle records that the store has come back from an older copy, which may lack claims. No key is
// claimed for settleTime.
func (r *Registry) Settle() {
	r.held.mutex.Lock()
	defer r.held.mutex.Unlock()
	r.held.settledAt = r.config.Clock.Now().Add(settleTime)
}

// WriteBack writes the held claims that the store has lost. It returns an error if not all have been
// written; the caller then calls it again.
func (r *Registry) WriteBack(ctx context.Context) error {
	var failure error
	for _, c := range r.held.all(r.config.Clock.Now()) {
		if err := r.writeBack(ctx, c); err != nil {
			failure = errors.CombineErrors(failure, err)
		}
	}
	return failure
}

func (r *Registry) writeBack(ctx context.Context, c *Claim) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !r.held.holds(c) {
		return nil
	}
	err := r.rewrite(ctx, c)
	if errors.Is(err, store.ErrConflict) && !r.held.settling(r.config.Clock.Now()) {
		// Another submission has the key. Until then it may be one that is released again.
		return nil
	}
	return err
}

func (h *heldClaims) add(now time.Time, c *Claim) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.running == nil {
		h.running = map[*Claim]time.Time{}
	}
	h.running[c] = now
}

// remove stops holding a claim whose request was not run.
func (h *heldClaims) remove(c *Claim) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.running, c)
}

// finish holds a claim that has been answered.
func (h *heldClaims) finish(now time.Time, c *Claim) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.running, c)
	h.answered = append(h.answered, answeredClaim{claim: c, at: now})
	h.answered = h.answered[max(0, len(h.answered)-maxHeldAnswers):]
	h.expire(now)
}

// all returns the claims that are held.
func (h *heldClaims) all(now time.Time) []*Claim {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.expire(now)
	var claims []*Claim
	for c := range h.running {
		claims = append(claims, c)
	}
	for _, a := range h.answered {
		claims = append(claims, a.claim)
	}
	return claims
}

func (h *heldClaims) holds(c *Claim) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_, running := h.running[c]
	return running || slices.ContainsFunc(h.answered, func(a answeredClaim) bool { return a.claim == c })
}

func (h *heldClaims) settling(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return now.Before(h.settledAt)
}

// expire drops the answers that are older than answerHoldTime and the claims that have no answer
// after maxRunTime. The mutex is held.
func (h *heldClaims) expire(now time.Time) {
	maps.DeleteFunc(h.running, func(_ *Claim, at time.Time) bool { return now.Sub(at) > maxRunTime })
	h.answered = slices.DeleteFunc(h.answered, func(a answeredClaim) bool { return now.Sub(a.at) > answerHoldTime })
}
