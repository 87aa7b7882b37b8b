package tokens

import (
	"math"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
)

// The results of Holder.Take.
const (
	// Admitted lets the request pass.
	Admitted Result = iota
	// Exceeded refuses the request: the organisation is over its quota.
	Exceeded
	// Undecided refuses the request: the grantor cannot be asked.
	Undecided
	// MustAsk means that the grantor must be asked first, see Holder.Ask.
	MustAsk
)

const (
	// silenceTime is how long a grantor is not asked again after it has not answered.
	silenceTime = 200 * time.Millisecond
	// maxLocalRefusal is the longest time for which requests are refused without asking,
	// after the grantor had no credit. A larger value would leave credit unused when the
	// other holders stop asking.
	maxLocalRefusal = 250 * time.Millisecond
	// demandWindow is the time constant of the exponential average of the demand.
	demandWindow = time.Second
	// idleTime is how long a balance without requests is kept.
	idleTime = 30 * time.Second
	// maxReturned bounds the marks in one message. There are not many more in a window.
	maxReturned = 2 * slotsPerWindow
	// unmarked is the mark of a token that cannot be returned.
	unmarked = -1
)

type (
	// Result is the kind of a Verdict.
	Result int

	// Verdict is the result of Holder.Take.
	Verdict struct {
		Result     Result
		RetryAfter time.Duration
		// Token is that of a request that is admitted.
		Token Token
	}

	// Token identifies when and by whom a token was granted.
	Token struct {
		Mark    int64
		Grantor ident.Instance
	}

	// Selector selects the nodes that may use a token without a grantor.
	Selector interface {
		// Window returns the number of the current window.
		Window() int64
		// Selected reports whether this node is among the n nodes of the fleet that may use a
		// token of the organisation in a window.
		Selected(name ident.Organisation, window int64, n int) bool
	}

	// Holder keeps the tokens that this node was granted. It is not safe for concurrent use.
	Holder struct {
		terms    Terms
		selector Selector
		balances map[ident.Organisation]*balance
	}

	// balance is the state of one organisation at this node.
	balance struct {
		batches []batch
		// demand is the rate of requests, per second, as of arrivedAt.
		demand    float64
		arrivedAt time.Time
		// grantor is the node, in its current run, that granted tokens last. Credit is
		// returned to it alone, as another one knows nothing of these tokens.
		grantor ident.Instance
		// returned are the tokens to return, by their marks.
		returned map[int64]int
		// refusedUntil is until when requests are refused without asking, and creditAt
		// when the grantor expects credit.
		refusedUntil time.Time
		creditAt     time.Time
		silentUntil  time.Time
		// slackWindow is the last window for which this node has drawn.
		slackWindow int64
	}

	// batch is what is left of the tokens of one Reply.
	batch struct {
		count   int
		expires time.Time
		token   Token
	}
)

// NewHolder returns a Holder without tokens.
func NewHolder(terms Terms, selector Selector) *Holder {
	return &Holder{terms: terms, selector: selector, balances: map[ident.Organisation]*balance{}}
}

// Arrive notes the arrival of a request, for the measured demand.
func (h *Holder) Arrive(t eval.Context, name ident.Organisation) {
	p, found := h.balances[name]
	if !found {
		p = &balance{arrivedAt: t.Now, slackWindow: -1}
		h.balances[name] = p
	}
	p.demand = p.demandAt(t.Now) + 1/demandWindow.Seconds()
	p.arrivedAt = t.Now
}

// Take takes a token for one request that has arrived.
func (h *Holder) Take(t eval.Context, name ident.Organisation) Verdict {
	p := h.balances[name]
	if p == nil {
		return Verdict{Result: MustAsk}
	}
	p.dropExpired(t.Now)
	switch {
	case len(p.batches) > 0:
		token := p.batches[0].token
		p.batches[0].count--
		if p.batches[0].count == 0 {
			p.batches = p.batches[1:]
		}
		return Verdict{Result: Admitted, Token: token}
	case t.Now.Before(p.refusedUntil):
		return Verdict{Result: Exceeded, RetryAfter: p.creditAt.Sub(t.Now)}
	case t.Now.Before(p.silentUntil):
		return h.takeSlack(t, name, p)
	}
	return Verdict{Result: MustAsk}
}

// takeSlack takes a token that the fleet may use without a grantor, if this node has one.
func (h *Holder) takeSlack(t eval.Context, name ident.Organisation, p *balance) Verdict {
	if n := h.terms.SlackTokens(); n > 0 {
		if window := h.selector.Window(); window > p.slackWindow {
			p.slackWindow = window
			if h.selector.Selected(name, window, n) {
				return Verdict{Result: Admitted, Token: Token{Mark: unmarked}}
			}
		}
	}
	// The times are spread so that the callers do not come back together.
	spread := time.Duration(t.Random.Float64() * float64(silenceTime))
	return Verdict{Result: Undecided, RetryAfter: p.silentUntil.Sub(t.Now) + spread}
}

// Ask returns what to ask of a grantor on behalf of the requests that wait for a token. An
// instance of 0 means that the grantor's is not known.
func (h *Holder) Ask(t eval.Context, name ident.Organisation, waiting int) (Request, ident.Instance) {
	r := Request{Organisation: name, Want: waiting}
	p := h.balances[name]
	if p == nil {
		return r, 0
	}
	p.dropExpired(t.Now)
	r.Demand = p.demandAt(t.Now)
	r.Want = max(waiting, int(r.Demand*h.terms.Validity().Seconds()))
	for mark, count := range p.returned {
		r.Returned = append(r.Returned, Returned{Mark: mark, Count: count})
	}
	// What is returned in a message that is lost stays lost: returned twice, it would be
	// granted twice.
	clear(p.returned)
	return r, p.grantor
}

// Reply notes the answer of a grantor to a request for so many tokens, sent at asked.
func (h *Holder) Reply(t eval.Context, name ident.Organisation, asked time.Time, want int, grantor ident.Instance, r Reply) {
	p := h.balances[name]
	if p == nil {
		return
	}
	if !r.Known {
		p.silentUntil = t.Now.Add(silenceTime)
		return
	}
	if p.grantor != grantor {
		p.grantor = grantor
		clear(p.returned)
	}
	if r.Granted > 0 {
		p.batches = append(p.batches, batch{count: r.Granted, expires: asked.Add(h.terms.Validity()), token: Token{Mark: r.Mark, Grantor: grantor}})
	}
	if r.Granted < want {
		p.creditAt = t.Now.Add(r.RetryAfter)
		p.refusedUntil = t.Now.Add(min(r.RetryAfter, maxLocalRefusal))
	}
}

// Failed notes that a grantor has not answered.
func (h *Holder) Failed(t eval.Context, name ident.Organisation) {
	if p := h.balances[name]; p != nil {
		p.silentUntil = t.Now.Add(silenceTime)
	}
}

// Return gives back the token of a request that was not run. The grantor gets it with the next
// request for tokens.
func (h *Holder) Return(name ident.Organisation, token Token) {
	if p := h.balances[name]; p != nil {
		p.giveBack(token, 1)
	}
}

// Expire drops the organisations without requests.
func (h *Holder) Expire(t eval.Context) {
	for name, p := range h.balances {
		if t.Now.Sub(p.arrivedAt) > max(idleTime, 2*h.terms.Window) {
			delete(h.balances, name)
		}
	}
}

// Len returns the number of organisations with requests.
func (h *Holder) Len() int {
	return len(h.balances)
}

// dropExpired drops the tokens that are no longer valid. They are returned with the next request
// for tokens.
func (p *balance) dropExpired(now time.Time) {
	kept := p.batches[:0]
	for _, b := range p.batches {
		if now.Before(b.expires) {
			kept = append(kept, b)
			continue
		}
		p.giveBack(b.token, b.count)
	}
	p.batches = kept
}

// giveBack returns tokens with the next request for some, if their grantor is asked then.
func (p *balance) giveBack(token Token, count int) {
	if token.Mark < 0 || token.Grantor != p.grantor {
		return
	}
	if p.returned == nil {
		p.returned = map[int64]int{}
	}
	if _, found := p.returned[token.Mark]; found || len(p.returned) < maxReturned {
		p.returned[token.Mark] += count
	}
}

// demandAt returns the demand as of now.
func (p *balance) demandAt(now time.Time) float64 {
	elapsed := max(0, now.Sub(p.arrivedAt))
	return p.demand * math.Exp(-elapsed.Seconds()/demandWindow.Seconds())
}
