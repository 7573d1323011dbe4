package groupcommit

import "time"

// Timeout returns how long an append waits for its answer: long if reads are slow as well, so that its answer is probably not lost. After
// each one without an answer the next waits twice as long, because the log may have become slower than any answer has shown.
func (p *Policy) Timeout(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.slowReadUntil) {
		return maxTimeout
	}
	timeout := max(timeoutFactor*p.answer(now), minTimeout)
	for i := 0; i < p.lost && timeout < maxTimeout; i++ {
		timeout *= 2
	}
	return min(timeout, maxTimeout)
}

// Overdue returns for how long an append may be without an answer before the next one does not wait for it any longer.
func (p *Policy) Overdue(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(overdueFactor*p.answer(now), minOverdue)
}

// Wait returns how long a record takes that is added now, behind a number of records that fill batches of a size: until the open append
// has its answer, and those ahead and its own have theirs.
func (p *Policy) Wait(ahead, batch int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := p.answer(now)
	wait := time.Duration(1+ahead/batch) * answer
	if open := p.longestOpen(now); len(p.open) > 0 {
		wait += max(answer-open, 0)
	}
	return wait
}

// HandOverTime returns how long an appender may take for a record whose caller waits for remaining. Half of that is kept for another way.
func (p *Policy) HandOverTime(remaining time.Duration, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.slowReadUntil) {
		return min(maxTimeout, remaining/2)
	}
	return min(max(waitFactor*p.answer(now), minWait), maxTimeout, remaining/2)
}
