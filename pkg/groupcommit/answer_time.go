package groupcommit

import "time"

// answerTime is a smoothed answer time.
type answerTime struct {
	value time.Duration
	at    time.Time // of the newest observation
}

func (a *answerTime) observe(took time.Duration, now time.Time) {
	if a.valid(now) {
		took = (a.value + took) / 2
	}
	a.value, a.at = took, now
}

func (a *answerTime) valid(now time.Time) bool {
	return !a.at.IsZero() && now.Sub(a.at) < answerValidity
}

func (a *answerTime) get(now time.Time) time.Duration {
	if !a.valid(now) {
		return 0
	}
	return a.value
}

// Answer returns the answer time of this node's appends, 0 if it has none that is recent, or for how long one has had no answer, if that is
// longer.
func (p *Policy) Answer(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.own.get(now), p.longestOpen(now))
}

// answer returns the answer time that the next append is expected to have.
func (p *Policy) answer(now time.Time) time.Duration {
	return max(p.own.get(now), p.cell.get(now))
}

// longestOpen returns for how long the oldest append has had no answer.
func (p *Policy) longestOpen(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, begun := range p.open {
		longest = max(longest, now.Sub(begun))
	}
	return longest
}
