package tokens

import (
	"math"
	"time"
)

const (
	// maxRefusal is the longest time after which an account expects to have credit for a
	// refused request. The requests that were refused before it may not come back.
	maxRefusal = time.Second
	// minRefusal keeps a holder that was refused from asking again at once.
	minRefusal = time.Millisecond
)

// account is a grantor's state for one organisation: a token bucket, and the count of the
// tokens granted in each part of the window.
//
// The bucket alone bounds the tokens that are granted. Those that come back are granted again, so
// that a span of time can see more tokens than the bucket's rate and size allow. The count bounds
// the tokens in use within a window whatever comes back.
type account struct {
	// configured is the whole limit, and limit the fraction of it that is used.
	configured Limit
	limit      Limit
	// since is from when on the account fills.
	since    time.Time
	level    float64
	filledAt time.Time
	usedAt   time.Time
	// refusedUntil is when there is credit for all requests that were refused.
	refusedUntil time.Time
	// counts is a ring. The part with the number n is at n modulo its length, and last is
	// the number of the newest part.
	counts []uint32
	last   int64
	sum    uint64
}

// newAccount returns an account that has been filled since a moment, which may be in the
// future.
func newAccount(now, since time.Time, slots int) *account {
	a := &account{counts: make([]uint32, slots)}
	a.reset(now, since)
	return a
}

// reset empties the bucket, as if it had been filled since a moment. The counts stay.
func (a *account) reset(now, since time.Time) {
	a.since = since
	a.level = 0
	a.filledAt = since
	a.refusedUntil = now
}

// configure sets the whole limit. A lower one binds from now on: what was granted before does not
// count against it.
func (a *account) configure(l Limit) {
	if l.Rate < a.configured.Rate || l.Burst < a.configured.Burst {
		clear(a.counts)
		a.sum = 0
	}
	a.configured = l
}

// fill adds the credit up to now, of the given limit.
func (a *account) fill(now time.Time, l Limit) {
	a.limit = l
	if elapsed := now.Sub(a.filledAt); elapsed > 0 {
		a.level += elapsed.Seconds() * l.Rate
		a.filledAt = now
	}
	a.level = min(a.level, l.capacity())
}

// advance makes the part with the number n the newest one.
func (a *account) advance(n int64) {
	if n-a.last >= int64(len(a.counts)) {
		clear(a.counts)
		a.sum, a.last = 0, n
		return
	}
	for a.last < n {
		a.last++
		count := &a.counts[a.last%int64(len(a.counts))]
		a.sum -= uint64(*count)
		*count = 0
	}
}

// grant takes up to want tokens. most bounds the sum of the counts.
func (a *account) grant(want int, most float64) int {
	room := math.Floor(most) - float64(a.sum)
	n := int(max(0, min(float64(want), math.Floor(a.level), room)))
	a.level -= float64(n)
	a.counts[a.last%int64(len(a.counts))] += uint32(n)
	a.sum += uint64(n)
	return n
}

// takeBack takes back tokens that were not used for a request that ran. It ignores those that no
// longer count.
func (a *account) takeBack(r Returned) {
	if r.Mark <= a.last-int64(len(a.counts)) || r.Mark > a.last || r.Mark < 0 {
		return
	}
	count := &a.counts[r.Mark%int64(len(a.counts))]
	n := min(uint32(max(0, r.Count)), *count)
	*count -= n
	a.sum -= uint64(n)
	a.level = min(a.level+float64(n), a.limit.capacity())
}

// refuse returns the time after which there is credit for one more refused request. Each one
// waits for those before it. slot is the length of the parts.
func (a *account) refuse(now time.Time, slot time.Duration) time.Duration {
	perToken := time.Duration(float64(time.Second) / max(a.limit.Rate, 1/maxRefusal.Seconds()))
	wait := time.Duration((1 - a.level) * float64(perToken))
	if a.level >= 1 {
		// The bucket has a token, so that the count is what refuses.
		wait = time.Duration(a.untilUncounted()) * slot
	}
	next := now.Add(max(minRefusal, wait))
	if a.refusedUntil.After(now) {
		next = later(next, a.refusedUntil.Add(perToken))
	}
	a.refusedUntil = next
	if latest := now.Add(maxRefusal); next.After(latest) {
		a.refusedUntil = latest
	}
	return a.refusedUntil.Sub(now)
}

// untilUncounted returns the number of parts of time until the earliest tokens no longer count.
func (a *account) untilUncounted() int64 {
	size := int64(len(a.counts))
	for n := a.last - size + 1; n < a.last; n++ {
		if a.counts[n%size] > 0 {
			return n + size - a.last
		}
	}
	return size
}

// idle reports whether the account is as a new one would be.
func (a *account) idle() bool {
	return a.sum == 0 && a.level >= a.limit.capacity()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
