package retry

const (
	// mostTokens bounds what a quiet time saves up, where nothing else is set.
	mostTokens = 20.0
	// firstTokens lets the first requests of a process retry.
	firstTokens = 3.0
	percent     = 100.0
)

// Budget is the retries that one node may still cause for one
// service. The zero value is ready. It is not safe for concurrent use.
type Budget struct {
	// Most bounds what is saved up: the node's part of what the whole fleet may
	// do beyond the share. Zero is the package's own bound.
	Most   float64
	begun  bool
	tokens float64
	// Spent and Denied count since the start.
	Spent  int
	Denied int
}

// Earn adds the share of one request.
func (b *Budget) Earn(share float64) {
	if !b.begun {
		b.begun = true
		b.tokens = min(firstTokens, b.most())
	}
	b.tokens = min(b.most(), b.tokens+share/percent)
}

// Spend takes one attempt from the budget, or reports that there is none left.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		b.Denied++
		return false
	}
	b.tokens--
	b.Spent++
	return true
}

// Tokens returns how many attempts are left.
func (b *Budget) Tokens() float64 {
	return b.tokens
}

// most is never below one, or nothing could ever be spent.
func (b *Budget) most() float64 {
	if b.Most == 0 {
		return mostTokens
	}
	return max(1, b.Most)
}
