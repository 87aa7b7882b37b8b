package front

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/state/keys"
)

const (
	// ReplayedHeader marks an answer that was stored for an earlier submission.
	ReplayedHeader = "Figwick-Replayed"
	// OutcomeRan is the outcome of a request that an earlier submission has run.
	OutcomeRan = "ran"

	// keyTimeout bounds one operation on a key's record.
	keyTimeout = 2 * time.Second
)

// Keys stores the records of idempotency keys.
type Keys interface {
	Claim(ctx context.Context, k keys.Key) (*keys.Claim, error)
	Finish(ctx context.Context, c *keys.Claim, a keys.Answer) error
	Release(ctx context.Context, c *keys.Claim) error
}

// runKeyed runs a request with an idempotency key, unless an earlier submission
// with that key has run or may have run.
func (x *exchange) runKeyed(ctx context.Context) {
	claimCtx, cancel := context.WithTimeout(ctx, keyTimeout)
	defer cancel()
	stop := context.AfterFunc(x.server.stopper.cut, cancel)
	defer stop()
	claim, err := x.server.config.Keys.Claim(claimCtx, keys.Key{
		Service: x.match.Entry.Name,
		Caller:  x.keyOwner(),
		Text:    x.request.Header.Get(KeyHeader),
	})
	switch {
	case err != nil:
		x.returnQuota()
		x.unknown("key", "store", "the key cannot be looked up: this submission was not run, an earlier one may have been")
	case claim.State == keys.Pending:
		x.conflict(OutcomeUnknown, "an earlier submission with this key is under way or has an unknown outcome")
	case claim.State == keys.Done && claim.Answer.BodyOmitted:
		x.conflict(OutcomeRan, "an earlier submission with this key was run; its answer was too large to keep")
	case claim.State == keys.Done:
		x.replayAnswer(claim.Answer)
	default:
		x.claim = claim
		x.run(ctx)
	}
}

// conflict answers 409 to a request whose key belongs to an earlier submission.
func (x *exchange) conflict(outcome, detail string) {
	x.returnQuota()
	x.server.config.Meter.Unknown.Inc(1)
	x.problem(outcome, failureInfo{status: http.StatusConflict, step: "key", detail: detail})
}

// replayAnswer sends the answer stored for the earlier submission.
func (x *exchange) replayAnswer(a *keys.Answer) {
	x.returnQuota()
	x.settleBody()
	h := x.writer.Header()
	for name, values := range a.Headers {
		h[name] = values
	}
	h.Set(ReplayedHeader, "true")
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	x.server.config.Meter.Answered.Inc(1)
	x.committed = true
	x.writer.WriteHeader(a.Status)
	_, _ = x.writer.Write(a.Body)
}

// storeAnswer stores the response in the key's record before it is sent to the
// caller. Of a response that was partly sent already, only the fact that the
// request was run is stored.
func (x *exchange) storeAnswer(r *response) {
	if x.claim == nil {
		return
	}
	a := keys.Answer{Status: int(r.head.Status), Body: r.held, BodyOmitted: x.committed}
	if a.BodyOmitted {
		a.Body = nil
	} else {
		a.Headers = wire.ToHeader(r.head.Headers)
	}
	x.updateKey(func(ctx context.Context) { _ = x.server.config.Keys.Finish(ctx, x.claim, a) })
}

// releaseKey deletes the key's record of a request that was not run.
func (x *exchange) releaseKey() {
	if x.claim == nil {
		return
	}
	x.updateKey(func(ctx context.Context) { _ = x.server.config.Keys.Release(ctx, x.claim) })
}

// updateKey updates the key's record before the caller is answered. It does not wait for the store
// when the process is about to end, since the answer would be lost with it.
func (x *exchange) updateKey(update func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.request.Context()), keyTimeout)
	go func() {
		defer cancel()
		update(ctx)
	}()
	select {
	case <-ctx.Done():
	case <-x.server.stopper.cut.Done():
	}
}
