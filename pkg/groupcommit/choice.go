package groupcommit

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// penalty keeps an appender that has failed from being asked.
type penalty struct {
	until  time.Time
	length time.Duration
}

// Choose returns the candidate that is to append next, and whether there is one that has not just failed. While the log is certainly slow
// it is the first of maxCandidates, so that all nodes choose the same. Otherwise the log may refuse some nodes and serve others: it is the
// first candidate, or any other at random.
func (p *Policy) Choose(candidates []oleanderline.VMID, now time.Time) (oleanderline.VMID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	slow := p.certainlySlow(now)
	if slow {
		candidates = candidates[:min(len(candidates), maxCandidates)]
	}
	var usable []oleanderline.VMID
	for _, vm := range candidates {
		if !now.Before(p.penalties[vm].until) {
			usable = append(usable, vm)
		}
	}
	switch {
	case len(usable) == 0:
		return "", false
	case slow || usable[0] == candidates[0]:
		return usable[0], true
	}
	return usable[min(int(p.random()*float64(len(usable))), len(usable)-1)], true
}

// MayAppend reports whether this node may append for itself now, although the log is slow and appenders have not stored the record. Each of a
// number of nodes has its turn so rarely that their appends leave a part of the log's time to the appender and the leader, at a random phase.
func (p *Policy) MayAppend(nodes int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := p.answer(now)
	if answer == 0 {
		answer = unknownAnswer
	}
	interval := time.Duration(float64(nodes) * float64(answer) / ownShare)
	if p.nextOwn.IsZero() || now.Sub(p.nextOwn) > interval+SlowHold {
		p.nextOwn = now.Add(time.Duration(p.random() * float64(interval)))
	}
	if now.Before(p.nextOwn) {
		return false
	}
	p.nextOwn = now.Add(interval)
	return true
}
