package fresh

import (
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
)

// The kinds of a Step.
const (
	// Wait waits for Step.Wait.
	Wait StepKind = iota
	// Ask asks Step.Node for its proof.
	Ask
	// Read reads the configuration from the store.
	Read
)

const (
	// jitterFraction is the part of the period over which questions are spread.
	jitterFraction = 10
	// failedFraction is the part of the period after which a node that got no recent proof
	// anywhere tries again. Requests with a key are to be served within a second of the
	// store's return.
	failedFraction = 3
	// timeoutFraction is the part of the period that a reply may take. Three nodes are
	// asked in turn, which together must take less than the time from a Late proof to the
	// end of the bound.
	timeoutFraction = 3
	// readersPerPeriod is the number of nodes that read the store in a period while it gives no
	// proof to the nodes that watch it. It limits the calls on a store that is coming back.
	readersPerPeriod = 16
)

type (
	// StepKind is the kind of a Step.
	StepKind int

	// Step is what to do next.
	Step struct {
		Kind StepKind
		Node ident.Node
		Wait time.Duration
	}

	// Sources are the nodes that can be asked.
	Sources struct {
		// Preferred are those with the most recent proofs, the best first.
		Preferred []ident.Node
		// All are all working nodes but this one.
		All []ident.Node
	}

	// Asker decides whom a node asks for a proof, and when. Call Next, carry out its step, and
	// call Replied after a reply. It is not safe for concurrent use.
	Asker struct {
		config Config
		// asked are the nodes that were asked in the present round.
		asked []ident.Node
		// heard is set if any of them replied, and nodes is the number that could be asked.
		heard bool
		nodes int
		// done is set when the present round has ended, and wait is the time until the next.
		done bool
		wait time.Duration
		// failed is the number of rounds since the last that got a recent proof.
		failed int
		// nextRead is the earliest time of the next read of the store. Zero is not decided.
		nextRead eval.BootTime
	}
)

// NewAsker returns an Asker.
func NewAsker(c Config) *Asker {
	return &Asker{config: c}
}

// ReplyTimeout returns how long a reply may take.
func (c Config) ReplyTimeout() time.Duration {
	return c.Period() / timeoutFraction
}

// Next returns the next step. The store is read if no node of the round replied, or if late is set:
// there is no recent proof. sources is called only if a node may be asked.
func (a *Asker) Next(t eval.Context, now eval.BootTime, late bool, sources func() Sources) Step {
	if !a.done {
		if node, found := a.pick(t, sources); found {
			a.asked = append(a.asked, node)
			return Step{Kind: Ask, Node: node}
		}
		a.failed++
		a.end(t, a.config.Period()/failedFraction)
		if (late || !a.heard) && a.mayRead(t, now) {
			return Step{Kind: Read}
		}
	}
	step := Step{Kind: Wait, Wait: a.wait}
	a.Reset()
	return step
}

// Reset makes the next round begin at once.
func (a *Asker) Reset() {
	a.done, a.heard, a.asked = false, false, nil
}

// mayRead reports whether the store may be read now: once in a period. If other nodes reply, the
// whole fleet has lost its proofs at the same time. Then the nodes of a large fleet read less
// often, and the first reads are spread over that time.
func (a *Asker) mayRead(t eval.Context, now eval.BootTime) bool {
	interval := a.config.Period()
	if a.heard {
		interval *= time.Duration(max(1, a.nodes/readersPerPeriod))
	}
	if a.nextRead == 0 && a.heard {
		a.nextRead = now.Add(time.Duration(t.Random.Float64() * float64(interval)))
	}
	if now < a.nextRead {
		return false
	}
	a.nextRead = now.Add(interval + a.jitter(t))
	return true
}

// pick returns the next node of this round: the first two that are preferred, then a random one.
// A round that follows a failed one asks just one of these, so that an outage of the store does
// not multiply the questions; every second such round asks the first.
func (a *Asker) pick(t eval.Context, sources func() Sources) (ident.Node, bool) {
	place := len(a.asked)
	switch {
	case a.failed > 0 && place > 0 || place > 2:
		return "", false
	case a.failed > 0:
		place = []int{0, 1, 0, 2}[a.failed%4]
	}
	s := sources()
	a.nodes = len(s.All)
	if place < 2 {
		for _, node := range s.Preferred[min(place, len(s.Preferred)):] {
			if !slices.Contains(a.asked, node) {
				return node, true
			}
		}
	}
	left := make([]ident.Node, 0, len(s.All))
	for _, node := range s.All {
		if !slices.Contains(a.asked, node) {
			left = append(left, node)
		}
	}
	if len(left) == 0 {
		return "", false
	}
	return left[t.Random.IntN(len(left))], true
}

// Replied records the verdict on a reply, and the age of the present proof. A recent proof ends
// the round. The next one begins when the node that was asked is expected to have a newer
// proof: the proofs of nodes that watch the store are one to two periods old. A reply that is
// Ahead ends the round too, until its revision has been fetched.
func (a *Asker) Replied(t eval.Context, v Verdict, age time.Duration) {
	period := a.config.Period()
	a.heard = true
	switch v {
	case Proved:
		a.failed, a.nextRead = 0, 0
		a.end(t, min(max(2*period-age, period/jitterFraction), period))
	case Ahead:
		a.end(t, period/failedFraction)
	}
}

// end ends the round.
func (a *Asker) end(t eval.Context, wait time.Duration) {
	a.done, a.wait = true, wait+a.jitter(t)
}

// jitter returns a random part of the period, from half of a tenth to a tenth and a half.
func (a *Asker) jitter(t eval.Context) time.Duration {
	return time.Duration((0.5 + t.Random.Float64()) * float64(a.config.Period()/jitterFraction))
}
