package front

import (
	"context"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/state/config"
)

// The results of Quotas.Take.
const (
	// QuotaAdmitted lets the request pass. Quotas.Return follows if it is not run.
	QuotaAdmitted QuotaResult = iota
	// QuotaExceeded refuses the request, as the organisation is over its quota.
	QuotaExceeded
	// QuotaUndecided refuses the request, as it is not known whether the organisation is
	// over its quota.
	QuotaUndecided
)

type (
	// Freshness says how current the active configuration is. Load the Table after the call: a
	// newer one may become active in between, to which the answer does not apply otherwise.
	Freshness interface {
		// ProofAge returns the time since the active configuration is known to have been
		// the newest. It reports false if this was never known.
		ProofAge() (age time.Duration, known bool)
		// MayUseKeys reports whether requests with an API key may be served: whether a
		// key that was removed long ago cannot be among those of the active configuration.
		MayUseKeys() bool
	}

	// QuotaResult is the kind of a QuotaVerdict.
	QuotaResult int

	// QuotaVerdict is the result of Quotas.Take.
	QuotaVerdict struct {
		Result QuotaResult
		// RetryAfter is when there will be credit, for a request that is refused.
		RetryAfter time.Duration
		// Token is that of a request that is admitted.
		Token QuotaToken
	}

	// QuotaToken identifies the token of one request, for Quotas.Return. Without it the
	// credit of a request that was not run would count for a later time than that of the
	// request, and a window could see more requests than the quota allows.
	QuotaToken struct {
		Mark    int64
		Grantor ident.Instance
		// Part is the part of the quota that the token is of.
		Part int
	}

	// Quotas holds organisations to their quotas over the whole fleet.
	Quotas interface {
		// Take takes a token of an organisation for one request. It may call other nodes
		// and waits at most a fraction of the target latency, which may be 0 for none.
		Take(ctx context.Context, name ident.Organisation, limit config.Limit, target time.Duration) QuotaVerdict
		// Return gives back the token of a request that was not run.
		Return(name ident.Organisation, token QuotaToken)
	}
)
