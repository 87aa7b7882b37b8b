package desk

import (
	"time"

	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/policy/queue"
)

const (
	// wideTrialAfter is when a trial that had no repeatable request takes any.
	wideTrialAfter = time.Second
	// provenAfter is when an attempt on trial speaks for its server: most gray
	// servers fail at once.
	provenAfter = 100 * time.Millisecond
	// trialPause is how long requests that must not repeat are kept from a
	// server on trial.
	trialPause = 400 * time.Millisecond
)

// doubt brings the line in step with whether a server has just failed.
func (d *Desk) doubt(t turn.Turn, s *service, v *standing, ops *Ops) {
	if was := v.doubtful; was != s.tracker.RecentlyFailed(t, v.ID) {
		v.doubtful = !was
		d.place(t, s, v, ops)
	}
}

// widen opens a trial that has had no repeatable request to other ones, and gives
// a server more than one attempt where the first ones last.
func (d *Desk) widen(t turn.Turn, s *service, ops *Ops) {
	for _, v := range s.servers {
		d.doubt(t, s, v, ops)
		was, proving := v.trialFor, v.proving
		v.trialFor = s.tracker.TimeOnTrial(t, v.ID)
		v.proving = 0
		if v.trialFor > 0 {
			v.proving = s.tracker.InFlightOlderThan(t, v.ID, provenAfter)
		}
		if (was > wideTrialAfter) != (v.trialFor > wideTrialAfter) || proving != v.proving {
			d.place(t, s, v, ops)
		}
	}
}

// pause is how long attempts will be refused, as far as is known: those that may
// try a server out, or others.
func (s *service) pause(t turn.Turn, mayTry bool) time.Duration {
	if pause := s.tracker.TimeUntilTrial(t); pause > 0 || mayTry {
		return pause
	}
	for _, v := range s.servers {
		if s.grade(v) != queue.Trial {
			return 0
		}
	}
	return trialPause
}
