package speed

import "time"

// complete is the progress of a run at its end, in percent.
const complete = 100

// Run follows the reported progress of one run. The zero value is a run that has not started.
type Run struct {
	at      time.Time // start of the period that is observed next
	percent int       // progress at that time
	// took is the time that the run needs for its whole work at the speed of the newest observed period; 0 if there was none.
	took time.Duration
}

// Start begins the run at a progress, which is not 0 if an earlier leader has started the run.
func (r *Run) Start(percent int, now time.Time) { *r = Run{at: now, percent: percent} }

// Started reports whether the run has begun.
func (r *Run) Started() bool { return !r.at.IsZero() }

// Report adds the progress that its worker reports. If a period has ended with it, it returns the time that the whole work takes at
// the speed of that period, and true.
func (r *Run) Report(percent int, now time.Time) (time.Duration, bool) {
	if r.at.IsZero() || now.Sub(r.at) < MinPeriod || percent < r.percent {
		return 0, false
	}
	done := float64(percent - r.percent)
	if percent == r.percent {
		done = 0.5 // the progress is reported in whole percent
	}
	r.took = time.Duration(float64(now.Sub(r.at)) * complete / done)
	r.at, r.percent = now, percent
	return r.took, true
}

// Whole returns the time that the whole work takes at the newest observed speed; 0 if none was observed.
func (r *Run) Whole() time.Duration { return r.took }

// Remaining returns the expected time until the end of the run. typical is the time that the whole work takes on a worker with the given
// slowdown, for a run whose speed has not been observed.
func (r *Run) Remaining(typical time.Duration, slowdown float64, now time.Time) time.Duration {
	whole := r.took
	if whole == 0 {
		whole = time.Duration(float64(typical) * slowdown)
	}
	return max(0, time.Duration(float64(whole)*float64(complete-r.percent)/complete)-now.Sub(r.at))
}
