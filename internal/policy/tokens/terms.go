package tokens

import (
	"math"
	"time"
)

const (
	// SettleTime is how long a new grantor grants nothing, and how long a share of the
	// rate that has become larger is not used. It is longer than the news of a node that
	// has joined, left or come back takes to reach the working nodes, which is 1 to 2 s.
	SettleTime = 2500 * time.Millisecond
	// ContactTime is how long the nodes that watch a grantor may be silent. It is shorter than
	// the time after which they declare it dead and another one has been new for SettleTime.
	ContactTime = 3 * time.Second
	// firstSettleTime replaces SettleTime at the first start of a fleet, where no other
	// node can have granted anything.
	firstSettleTime = time.Second

	// maxValidity is the longest time for which a token is valid.
	maxValidity = 250 * time.Millisecond
	// minValidity allows for a round trip where Overshoot leaves no time.
	minValidity = 50 * time.Millisecond
	// slotsPerWindow is the number of parts of a window in which an account counts its
	// tokens.
	slotsPerWindow = 100
)

type (
	// Terms say what a quota promises: in any span of Window, an organisation gets at
	// most (rate * Window + burst) * (1 + Overshoot) + Slack requests.
	Terms struct {
		Window    time.Duration
		Overshoot float64
		Slack     float64
	}

	// Limit is the quota of one organisation, in requests a second and requests.
	Limit struct {
		Rate  float64
		Burst float64
	}
)

// Validity returns how long a token is valid, from when its holder asked for it.
func (t Terms) Validity() time.Duration {
	half := time.Duration(t.Overshoot * float64(t.Window) / 2)
	return max(minValidity, min(maxValidity, half))
}

// SlackTokens returns how many tokens the whole fleet may use without a grantor in each
// window that begins at a multiple of Window. Any span of Window overlaps two of these, so
// that half the slack is used at most.
func (t Terms) SlackTokens() int {
	return int(t.Slack / 4)
}

// slot returns the length of the parts in which an account counts its tokens.
func (t Terms) slot() time.Duration {
	return max(time.Millisecond, t.Window/slotsPerWindow)
}

// slots returns the number of parts that an account's count covers: Window, lengthened by
// Overshoot, so that a bucket that is filled at the rate never exceeds most. The count covers
// at least Window and the validity of a token, since the tokens used in a span of Window were
// granted in that time.
func (t Terms) slots() int {
	span := time.Duration((1 + t.Overshoot) * float64(t.Window))
	span = max(span, t.Window+t.Validity()+t.slot())
	return int(math.Ceil(float64(span) / float64(t.slot())))
}

// bucket returns the rate and the size of an organisation's token bucket. Its rate over a window is
// all that the quota names, rate and burst: an organisation that always asks for more then gets
// that in every window. The size is what the bound of a window leaves beside it, less half of the
// slack, which the fleet may use without a grantor, and what a token's validity adds.
func (t Terms) bucket(l Limit) Limit {
	promised := l.Rate*t.Window.Seconds() + l.Burst
	perSecond := promised / t.Window.Seconds()
	late := (t.Validity() + t.slot()).Seconds()
	return Limit{Rate: perSecond, Burst: promised*t.Overshoot + t.Slack/2 - perSecond*late}
}

// most returns the number of tokens that may be granted, and not returned unused, within the
// time that slots covers.
func (t Terms) most(l Limit) float64 {
	return (l.Rate*t.Window.Seconds()+l.Burst)*(1+t.Overshoot) + t.Slack/2
}

// scaled returns the fraction of a limit.
func (l Limit) scaled(fraction float64) Limit {
	return Limit{Rate: l.Rate * fraction, Burst: l.Burst * fraction}
}

// capacity returns the size of the token bucket. A smaller one than 1 would never grant a
// token.
func (l Limit) capacity() float64 {
	return max(1, l.Burst)
}
