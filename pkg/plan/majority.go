package plan

import (
	"slices"
	"time"
)

// Any majority that lets an earlier leader give orders (MajorityUntil) and any that lets a later one take workers without a report for
// empty (majorityReported) have a worker in common, which refuses the earlier leader. Both count the workers with a record in the log. A
// leader does not know whether a later one has read a change of these records that is not confirmed, so it needs a majority with and
// without it. A later leader needs a majority of the workers that each earlier one may count.

// MajorityUntil returns the time until which a majority of workers supports this leader. An answer counts for
// Settings.Majority from the time when its call was sent. Before the returned time, no later leader can have reached a majority.
// It returns the zero time if there is no such time.
func (p *Planner) MajorityUntil() time.Time {
	confirmed := make([]time.Time, 0, len(p.workers))
	changed := false
	for _, w := range p.workers {
		changed = changed || w.inLog != w.stored
		if w.inLog {
			confirmed = append(confirmed, w.callSentAt)
		}
	}
	sentAt := majoritySentAt(confirmed)
	if changed {
		var handedOut []time.Time
		for _, w := range p.workers {
			if w.stored {
				handedOut = append(handedOut, w.callSentAt)
			}
		}
		if other := majoritySentAt(handedOut); other.Before(sentAt) {
			sentAt = other
		}
	}
	if sentAt.IsZero() {
		return time.Time{}
	}
	return sentAt.Add(p.settings.Majority)
}

// majoritySentAt returns the latest time so that a majority of the given times is no earlier; zero if there are none.
func majoritySentAt(times []time.Time) time.Time {
	if len(times) == 0 {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(times)/2]
}

// sinceOf returns the value of record.Worker.Since in a record of a worker that is stored now.
func (p *Planner) sinceOf(w *worker) int {
	switch {
	case p.firstTerm || p.now.Sub(p.termStart) >= p.settings.Horizon:
		return 0
	case !w.stored && !w.inLog:
		return p.claims
	}
	return w.since
}

// majorityReported reports whether, of the workers that each earlier leader may count, a majority has reported in this term.
func (p *Planner) majorityReported() bool {
	var counts []sinceCount
	for _, w := range p.workers {
		if w.inherited {
			counts = addCount(counts, w.since, w.incarnation != 0)
		}
	}
	slices.SortFunc(counts, func(a, b sinceCount) int { return a.since - b.since })
	reported, all := 0, 0
	for _, count := range counts {
		reported, all = reported+count.reported, all+count.all
		if 2*reported <= all {
			return false
		}
	}
	return all > 0
}

// sinceCount counts the inherited workers with a value of record.Worker.Since.
type sinceCount struct{ since, reported, all int }

func addCount(counts []sinceCount, since int, reported bool) []sinceCount {
	i := slices.IndexFunc(counts, func(c sinceCount) bool { return c.since == since })
	if i < 0 {
		counts = append(counts, sinceCount{since: since})
		i = len(counts) - 1
	}
	counts[i].all++
	if reported {
		counts[i].reported++
	}
	return counts
}
