package groupcommit

import "time"

// Slow reports whether the log answers slowly or refuses this node, by the last calls or one that has had no answer for long, or so many
// records come that it would be slow soon after.
func (p *Policy) Slow(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	lateRead := !p.readBegun.IsZero() && now.Sub(p.readBegun) >= slowRead
	return now.Before(p.slowUntil) || p.longestOpen(now) >= SlowAnswer || lateRead
}

// CertainlySlow reports whether the log has answered slowly: appends of this node or of the leader, or a read that did not wait for
// records. Unlike Slow, it is not true for a log that only had no records to answer with.
func (p *Policy) CertainlySlow(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.certainlySlow(now)
}

func (p *Policy) certainlySlow(now time.Time) bool {
	return p.answer(now) >= SlowAnswer || now.Before(p.slowReadUntil)
}

// Congested reports whether a refusal of the log means that too many appends wait, and not that it refuses this node: it is slow, and has
// answered this node lately.
func (p *Policy) Congested(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.certainlySlow(now) && !p.own.at.IsZero() && now.Sub(p.own.at) < servedHold
}
