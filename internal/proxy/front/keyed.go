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
	// ReplayedHeader marks an answer that an earlier submission got.
	ReplayedHeader = "Figwick-Replayed"
	// Ran says that an earlier submission of the request was run.
	Ran = "ran"

	// keyTimeout bounds the look-up of a key.
	keyTimeout = 2 * time.Second
)

// Keys keeps the records of idempotency keys.
type Keys interface {
	Claim(ctx context.Context, k keys.Key) (*keys.Claim, error)
	Finish(ctx context.Context, c *keys.Claim, a keys.Answer) error
	Forget(ctx context.Context, c *keys.Claim) error
}

// runKeyed runs a request that bears an idempotency key, unless an earlier
// submission has.
func (x *exchange) runKeyed(ctx context.Context) {
	claiming, done := context.WithTimeout(ctx, keyTimeout)
	defer done()
	claim, err := x.server.config.Keys.Claim(claiming, keys.Key{
		Service: x.match.Entry.Name,
		Caller:  x.caller(),
		Text:    x.request.Header.Get(KeyHeader),
	})
	switch {
	case err != nil:
		x.unknown("key", "store", "the key cannot be looked up: this submission was not run, an earlier one may have been")
	case claim.State == keys.Pending:
		x.earlier(Unknown, "an earlier submission with this key is under way or has an unknown outcome")
	case claim.State == keys.Done && claim.Answer.BodyOmitted:
		x.earlier(Ran, "an earlier submission with this key was run; its answer was too large to keep")
	case claim.State == keys.Done:
		x.replay(claim.Answer)
	default:
		x.claim = claim
		x.run(ctx)
	}
}

func (x *exchange) earlier(outcome, detail string) {
	x.server.config.Meter.Unknown.Inc(1)
	x.problem(outcome, trouble{status: http.StatusConflict, step: "key", detail: detail})
}

// replay gives the answer of the earlier submission.
func (x *exchange) replay(a *keys.Answer) {
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

// record keeps the answer before the caller has it.
func (x *exchange) record(r *answer) {
	if x.claim == nil {
		return
	}
	ctx, done := context.WithTimeout(context.WithoutCancel(x.request.Context()), keyTimeout)
	defer done()
	a := keys.Answer{Status: int(r.head.Status), Body: r.held, BodyOmitted: x.committed}
	if a.BodyOmitted {
		a.Body = nil
	} else {
		a.Headers = wire.ToHeader(r.head.Headers)
	}
	_ = x.server.config.Keys.Finish(ctx, x.claim, a)
}

// forget gives up the key of a request that was not run.
func (x *exchange) forget() {
	if x.claim == nil {
		return
	}
	ctx, done := context.WithTimeout(context.WithoutCancel(x.request.Context()), keyTimeout)
	defer done()
	_ = x.server.config.Keys.Forget(ctx, x.claim)
}
