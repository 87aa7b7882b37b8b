package health

import (
	"time"

	"github.com/figwick/figwick/internal/base/eval"
)

// CountRefusal records that an attempt was refused because every eligible server was held
// out. Enough refusals end long holds early; see Config.EarlyTrialRefusals.
func (k *Tracker) CountRefusal() {
	for _, s := range k.servers {
		if s.state == Ejected {
			s.refusedAttempts++
		}
	}
}

// holdOver reports whether the hold of s has ended, by time or early because of refused
// attempts.
func (k *Tracker) holdOver(t eval.Context, s *server) bool {
	if !t.Now.Before(s.holdEnd) {
		return true
	}
	slotsNeeded := k.config.EarlyTrialRefusals > 0 && s.refusedAttempts >= k.config.EarlyTrialRefusals
	return slotsNeeded && !t.Now.Before(s.ejectedAt.Add(k.config.Hold))
}

// earliestTrial returns the earliest time at which the hold of s can end.
func (k *Tracker) earliestTrial(t eval.Context, s *server) time.Time {
	earlyEnd := s.ejectedAt.Add(k.config.Hold)
	if k.config.EarlyTrialRefusals > 0 && earlyEnd.Before(s.holdEnd) && t.Now.Before(earlyEnd) {
		return earlyEnd
	}
	return s.holdEnd
}

// TimeUntilTrial returns how long it takes at least until the first server's hold ends. It
// is zero if a server is not ejected or if there are no servers.
func (k *Tracker) TimeUntilTrial(t eval.Context) time.Duration {
	pause := time.Duration(0)
	for i, s := range k.servers {
		if s.state != Ejected {
			return 0
		}
		if left := k.earliestTrial(t, s).Sub(t.Now); i == 0 || left < pause {
			pause = left
		}
	}
	return max(pause, 0)
}

func (k *Tracker) holdFor(strikes int) time.Duration {
	hold := k.config.Hold
	for range strikes {
		hold = min(2*hold, k.config.MaxHold)
	}
	return hold
}
