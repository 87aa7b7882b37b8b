package desk

import (
	"time"

	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/policy/queue"
)

const (
	// openTrialAfter is when a trial that had no repeatable request takes any.
	openTrialAfter = time.Second
	// provenAfter is when an attempt on trial speaks for its server: most gray
	// servers fail at once.
	provenAfter = 100 * time.Millisecond
	// trialPause is how long requests that must not repeat are kept from a
	// server on trial.
	trialPause = 400 * time.Millisecond
)

// updateRecentlyFailed brings the line in step with whether a server has just failed.
func (d *Desk) updateRecentlyFailed(t turn.Turn, s *service, v *serverState, ops *Ops) {
	if was := v.recentlyFailed; was != s.tracker.Doubtful(t, v.ID) {
		v.recentlyFailed = !was
		d.updateQueue(t, s, v, ops)
	}
}

// updateTrials opens a trial that has had no repeatable request to other ones, and gives
// a server more than one attempt where the first ones last.
func (d *Desk) updateTrials(t turn.Turn, s *service, ops *Ops) {
	for _, v := range s.servers {
		d.updateRecentlyFailed(t, s, v, ops)
		was, proving := v.trialDuration, v.provenInFlight
		v.trialDuration = s.tracker.TrialFor(t, v.ID)
		v.provenInFlight = 0
		if v.trialDuration > 0 {
			v.provenInFlight = s.tracker.Lasting(t, v.ID, provenAfter)
		}
		if (was > openTrialAfter) != (v.trialDuration > openTrialAfter) || proving != v.provenInFlight {
			d.updateQueue(t, s, v, ops)
		}
	}
}

// pause is how long attempts will be refused, as far as is known: those that may
// try a server out, or others.
func (s *service) pause(t turn.Turn, mayTry bool) time.Duration {
	if pause := s.tracker.Pause(t); pause > 0 || mayTry {
		return pause
	}
	for _, v := range s.servers {
		if s.grade(v) != queue.Trial {
			return 0
		}
	}
	return trialPause
}
