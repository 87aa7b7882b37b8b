package admit

import (
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/policy/queue"
)

const (
	// openTrialAfter is how long a trial waits for repeatable requests before it
	// admits any request.
	openTrialAfter = time.Second
	// provenAfter is the age at which an attempt still in flight counts in favor of
	// a server on trial, since most servers with gray failures fail at once.
	provenAfter = 100 * time.Millisecond
	// trialPause is how long attempts that may not join a trial are expected to be
	// refused while all servers are on trial.
	trialPause = 400 * time.Millisecond
)

// updateRecentlyFailed updates the queue if a server has just failed, or if its last
// failure is no longer recent.
func (c *Controller) updateRecentlyFailed(t eval.Context, s *service, v *serverState, ops *Ops) {
	if was := v.recentlyFailed; was != s.tracker.RecentlyFailed(t, v.ID) {
		v.recentlyFailed = !was
		c.updateQueue(t, s, v, ops)
	}
}

// updateTrials updates the queue for servers on trial. After openTrialAfter a trial
// admits requests of any kind. A server whose attempts have been in flight for
// provenAfter gets one more attempt beside them.
func (c *Controller) updateTrials(t eval.Context, s *service, ops *Ops) {
	for _, v := range s.servers {
		c.updateRecentlyFailed(t, s, v, ops)
		was, proving := v.trialDuration, v.provenInFlight
		v.trialDuration = s.tracker.TimeOnTrial(t, v.ID)
		v.provenInFlight = 0
		if v.trialDuration > 0 {
			v.provenInFlight = s.tracker.InFlightOlderThan(t, v.ID, provenAfter)
		}
		if (was > openTrialAfter) != (v.trialDuration > openTrialAfter) || proving != v.provenInFlight {
			c.updateQueue(t, s, v, ops)
		}
	}
}

// pause returns how long attempts are expected to be refused, 0 if this is not
// known. The argument mayJoinTrial says whether the attempts may join a trial.
func (s *service) pause(t eval.Context, mayJoinTrial bool) time.Duration {
	if pause := s.tracker.TimeUntilTrial(t); pause > 0 || mayJoinTrial {
		return pause
	}
	for _, v := range s.servers {
		if s.grade(v) != queue.Trial {
			return 0
		}
	}
	return trialPause
}
