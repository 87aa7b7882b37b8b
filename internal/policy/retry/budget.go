package retry

import "time"

const (
	// defaultMaxTokens bounds the tokens that accumulate while there are no
	// retries, for a Budget without a Share.
	defaultMaxTokens = 20.0
	// defaultInitialTokens allows the first requests of a process to be retried,
	// for a Budget without a Share.
	defaultInitialTokens = 3.0
	percentPerToken      = 100.0
)

type (
	// Budget is the token bucket from which one node pays for the retries of one
	// service. The zero value is ready to use. It is not safe for concurrent use.
	Budget struct {
		// Share is the node's share of the fleet's Base: the retries that are
		// allowed besides those that requests earn. A Budget with a Share starts
		// empty. Otherwise nodes that restart together would bring back tokens
		// that the fleet has already spent. The zero value selects the package's
		// defaults.
		Share Share
		// StartFull makes a Budget with a Share start with all of its tokens. It
		// is set when the whole fleet starts for the first time, since no token
		// has been spent yet.
		StartFull bool

		started    bool
		refilledAt time.Time
		tokens     float64
		// Spent and Denied count the retries that were paid for and those that
		// were not, since the process started.
		Spent  int
		Denied int
	}

	// Share is one node's share of the retries that a Base allows the fleet.
	Share struct {
		// MaxTokens is the capacity of the bucket.
		MaxTokens float64
		// PerSecond is the number of tokens added each second, besides those
		// that requests earn.
		PerSecond float64
	}
)

// Earn adds what one request earns, in percent of a token.
func (b *Budget) Earn(now time.Time, percentage float64) {
	b.refill(now)
	b.tokens = min(b.maxTokens(), b.tokens+percentage/percentPerToken)
}

// Spend takes one token for a retry. It reports false if less than one is left.
func (b *Budget) Spend(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		b.Denied++
		return false
	}
	b.tokens--
	b.Spent++
	return true
}

// Charge takes a share of a token for an attempt that is no retry itself but may have been
// caused by one, as the calls of a request that runs again are. Such an attempt is not
// refused: where the tokens do not cover it, it leaves a debt that later tokens pay first.
func (b *Budget) Charge(now time.Time, share float64) {
	b.refill(now)
	b.tokens -= share
}

// Refund returns the token of a retry that was paid for but not made.
func (b *Budget) Refund() {
	b.tokens = min(b.maxTokens(), b.tokens+1)
	b.Spent--
}

// UndoEarn removes what Earn added for a request that was then not accepted.
func (b *Budget) UndoEarn(percentage float64) {
	b.tokens -= percentage / percentPerToken
}

// Tokens returns the number of tokens left, as of the last Earn or Spend.
func (b *Budget) Tokens() float64 {
	return b.tokens
}

// refill adds the tokens that are due since the last call.
func (b *Budget) refill(now time.Time) {
	if !b.started {
		b.started = true
		b.refilledAt = now
		b.tokens = b.initialTokens()
	}
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.tokens = min(b.maxTokens(), b.tokens+b.Share.PerSecond*elapsed)
		b.refilledAt = now
	}
}

// initialTokens returns the number of tokens that the bucket starts with.
func (b *Budget) initialTokens() float64 {
	switch {
	case b.Share.MaxTokens == 0:
		return defaultInitialTokens
	case b.StartFull:
		return b.Share.MaxTokens
	default:
		return 0
	}
}

// maxTokens returns the capacity of the bucket. It is at least one: with less,
// no retry could ever be paid for.
func (b *Budget) maxTokens() float64 {
	if b.Share.MaxTokens == 0 {
		return defaultMaxTokens
	}
	return max(1, b.Share.MaxTokens)
}
