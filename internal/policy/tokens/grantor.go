package tokens

import (
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
)

const (
	// retryUnknown is when a holder asks again that was told that the node grants nothing.
	retryUnknown = 200 * time.Millisecond
	// knownMemory is how long the number of nodes that a holder knows of is remembered.
	knownMemory = 30 * time.Second
)

type (
	// Request asks for tokens. Want is the number of tokens, Demand the rate of the
	// organisation's requests at the holder.
	Request struct {
		Organisation ident.Organisation
		Demand       float64
		Want         int
		// Returned are the tokens that have expired unused or were used for requests that
		// were not run.
		Returned []Returned
		// Known is the number of nodes that the holder knows of, lost ones included. A
		// grantor that has started in one part of a split fleet knows of no other part.
		Known int
	}

	// Returned is a number of tokens that are given back, which had the same Reply.Mark.
	Returned struct {
		Mark  int64
		Count int
	}

	// Reply answers a Request.
	Reply struct {
		Granted int
		// RetryAfter is when there will be credit, if fewer tokens were granted than
		// wanted.
		RetryAfter time.Duration
		// Mark says when the tokens were granted. It has a meaning to their grantor only.
		Mark int64
		// Known is false if the node grants no tokens of the organisation now.
		Known bool
	}

	// Grantor grants the tokens of the organisations that the node is responsible for. It is
	// not safe for concurrent use.
	Grantor struct {
		terms      Terms
		parts      int
		started    time.Time
		firstStart bool
		// resumed is when the node last went on after a suspension.
		resumed   time.Time
		lastEvent time.Time
		fractions []fractionSample
		// heardKnown is the largest Request.Known lately, as of heardAt, visible the number of
		// nodes that this node sees.
		heardKnown int
		heardAt    time.Time
		visible    int
		accounts   map[ident.Organisation]*account
		expiredAt  time.Time
		// suspensions counts the suspensions.
		suspensions int
	}

	// fractionSample is the fraction of the known nodes that were visible from a moment on.
	fractionSample struct {
		at       time.Time
		fraction float64
	}

	// GrantorConfig configures a Grantor.
	GrantorConfig struct {
		Terms Terms
		// Started is when the node started.
		Started time.Time
		// Parts is the number of grantors that divide each quota evenly. 0 counts as 1.
		Parts int
		// FirstStart says that the whole fleet starts for the first time.
		FirstStart bool
	}
)

// NewGrantor returns a Grantor without accounts.
func NewGrantor(c GrantorConfig) *Grantor {
	return &Grantor{
		terms:      c.Terms,
		parts:      max(1, c.Parts),
		started:    c.Started,
		firstStart: c.FirstStart,
		lastEvent:  c.Started,
		accounts:   map[ident.Organisation]*account{},
	}
}

// Tick notes that the node runs, and how many of the nodes that it knows of are visible to it, itself
// included. Callers call it several times a second. A pause of ContactTime counts as a suspension.
func (g *Grantor) Tick(t eval.Context, visible, known int) {
	g.noteEvent(t.Now)
	if t.Now.Sub(g.heardAt) >= knownMemory {
		g.heardKnown = 0
	}
	g.visible = max(1, visible)
	g.noteFraction(t.Now, max(known, g.heardKnown))
	g.expire(t.Now)
}

// noteFraction notes the visible fraction of so many known nodes.
func (g *Grantor) noteFraction(now time.Time, known int) {
	fraction := float64(g.visible) / float64(max(known, g.visible))
	if n := len(g.fractions); n == 0 || g.fractions[n-1].fraction != fraction {
		g.fractions = append(g.fractions, fractionSample{at: now, fraction: fraction})
	}
	// The newest sample that is older than SettleTime still tells the fraction at its begin.
	old := 0
	for old+1 < len(g.fractions) && now.Sub(g.fractions[old+1].at) >= SettleTime {
		old++
	}
	g.fractions = slices.Delete(g.fractions, 0, old)
}

// Interrupt notes that other nodes may have taken over what this node grants.
func (g *Grantor) Interrupt(t eval.Context) {
	g.resumed = t.Now
	g.lastEvent = t.Now
}

// noteEvent detects a suspension: other nodes may have granted tokens meanwhile.
func (g *Grantor) noteEvent(now time.Time) {
	if now.Sub(g.lastEvent) >= ContactTime {
		g.resumed = now
		g.suspensions++
	}
	g.lastEvent = later(g.lastEvent, now)
}

// fraction returns the smallest fraction of the last SettleTime. A larger one is not used at
// once, since the other part of a fleet that was split may still grant tokens.
func (g *Grantor) fraction() float64 {
	smallest := 1.0
	for _, s := range g.fractions {
		smallest = min(smallest, s.fraction)
	}
	return smallest
}

// Grant answers a request for an organisation whose grantor the node has been since the given
// moment.
func (g *Grantor) Grant(t eval.Context, r Request, l Limit, since time.Time) Reply {
	g.noteEvent(t.Now)
	if r.Known >= g.heardKnown {
		g.heardAt = t.Now
	}
	if r.Known > g.heardKnown {
		g.heardKnown = r.Known
		if g.visible > 0 {
			g.noteFraction(t.Now, r.Known)
		}
	}
	settle, fills := g.begin(since)
	if t.Now.Before(settle) {
		return Reply{RetryAfter: min(retryUnknown, settle.Sub(t.Now))}
	}
	fraction := g.fraction() / float64(g.parts)
	a, found := g.accounts[r.Organisation]
	switch {
	case !found:
		a = newAccount(t.Now, fills, g.terms.slots())
		g.accounts[r.Organisation] = a
	case a.since.Before(fills):
		a.reset(t.Now, fills)
	}
	a.usedAt = t.Now
	mark := g.mark(t.Now)
	a.advance(mark)
	a.configure(l)
	a.fill(t.Now, g.terms.bucket(l).scaled(fraction))
	for _, back := range r.Returned {
		a.takeBack(back)
	}
	reply := Reply{Known: true, Mark: mark}
	reply.Granted = a.grant(r.Want, g.terms.most(l)*fraction)
	if reply.Granted < r.Want {
		reply.RetryAfter = a.refuse(t.Now, g.terms.slot())
	}
	return reply
}

// begin returns from when on tokens are granted, and from when on the bucket fills, where the
// node has been the grantor since the given moment.
func (g *Grantor) begin(since time.Time) (settle, fills time.Time) {
	if g.firstStart && g.resumed.IsZero() && !since.After(g.started) {
		return g.started.Add(firstSettleTime), g.started
	}
	settle = later(later(since, g.started), g.resumed).Add(SettleTime)
	return settle, settle
}

// mark returns the number of the part of time that contains now.
func (g *Grantor) mark(now time.Time) int64 {
	return now.UnixNano() / int64(g.terms.slot())
}

// expire drops the accounts that are as a new one would be, once a second.
func (g *Grantor) expire(now time.Time) {
	if now.Sub(g.expiredAt) < time.Second {
		return
	}
	g.expiredAt = now
	for name, a := range g.accounts {
		a.advance(g.mark(now))
		a.fill(now, a.limit)
		if a.idle() {
			delete(g.accounts, name)
		}
	}
}

// Suspensions returns the number of suspensions of the node.
func (g *Grantor) Suspensions() int {
	return g.suspensions
}

// Len returns the number of accounts.
func (g *Grantor) Len() int {
	return len(g.accounts)
}
