// Package admit implements the admission control and the queue of a service: it decides which requests are queued, for
// how long, and which one gets the next free slot. It also limits the concurrency of each minion.
package admit

import (
	"math"
	"time"

	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Settings of a Queue.
type Settings struct {
	MaxQueued    int           // maximum number of queued requests
	RefuseEarly  bool          // refuse requests on arrival whose estimated wait is too long
	WaitShare    float64       // share of the objective, or of the time to the deadline, that a request may be queued
	NewestFirst  bool          // send the newest request first while the oldest has waited longer than the objective (adaptive LIFO)
	Lanes        bool          // separate queues and slot shares for long and short requests
	LongShare    float64       // share of the slots for long requests while short ones are queued
	ShortReserve float64       // share of the slots that long requests never use
	DemandDecay  time.Duration // time in which the recorded peak of short requests decays to about a third
}

// DefaultSettings returns the production settings.
func DefaultSettings() Settings {
	return Settings{
		MaxQueued:    1024,
		RefuseEarly:  true,
		WaitShare:    0.5, // leaves a margin for estimation errors and for run times above the mean
		NewestFirst:  true,
		Lanes:        true,
		LongShare:    0.2, // less than the share of long requests in the work, so that short ones wait less
		ShortReserve: 0.15,
		DemandDecay:  time.Second,
	}
}

// SlotUsage holds the numbers of slots that this entry may use for a service and of those that are busy.
type SlotUsage struct {
	Slots int // usable by this entry, free or busy
	Long  int // busy with long requests
	Short int // busy with short requests
}

// Verdict is the result of admission control for a new request.
type Verdict int

// Verdicts.
const (
	VerdictWait Verdict = iota // queue the request
	VerdictFull                // refuse: the queue is full
	VerdictLate                // refuse: the request would wait too long or miss its deadline
)

// Queue is the request queue of one service at one entry. Short and long requests have separate lanes.
type Queue struct {
	settings      Settings
	objective     time.Duration // latency of the service's slo rule; zero: none
	short         lane
	long          lane
	shortDemand   float64 // recent peak of running and queued short requests, with exponential decay
	shortDemandAt time.Time
}

// NewQueue returns an empty queue.
func NewQueue(settings Settings) *Queue {
	return &Queue{settings: settings}
}

// SetObjective sets the latency of the service's slo rule; zero means none.
func (q *Queue) SetObjective(latency time.Duration) { q.objective = latency }

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.short.count + q.long.count }

// Waiting returns the numbers of queued short and long requests.
func (q *Queue) Waiting() (short, long int) { return q.short.count, q.long.count }

func (q *Queue) lane(i *Item) *lane {
	if i.Long && q.settings.Lanes {
		return &q.long
	}
	return &q.short
}

// Admit decides whether a request may be queued.
func (q *Queue) Admit(i *Item, usage SlotUsage, now time.Time) Verdict {
	if q.full(i) {
		return VerdictFull
	}
	if !i.Deadline.IsZero() && now.Add(i.Expected).After(i.Deadline) {
		return VerdictLate
	}
	if q.settings.RefuseEarly && q.EstimateWait(i, usage) > q.maxWait(i, now) {
		return VerdictLate
	}
	return VerdictWait
}

// full reports whether the queue is full for a request. A part of the queue is reserved for requests of higher priority,
// and half of it for short requests.
func (q *Queue) full(i *Item) bool {
	limit := q.settings.MaxQueued
	if q.settings.Lanes && i.Long && q.long.count >= limit/2 {
		return true
	}
	switch i.Priority {
	case rules.PriorityLow:
		limit -= limit / 2
	case rules.PriorityHigh:
	default:
		limit -= limit / 8
	}
	return q.Len() >= limit
}

// EstimateWait estimates how long a new request would be queued.
func (q *Queue) EstimateWait(i *Item, usage SlotUsage) time.Duration {
	slots := q.expectedSlots(i, usage)
	work := q.lane(i).workAtOrAbove(i.Priority)
	return time.Duration(float64(work) / slots)
}

// expectedSlots returns the expected number of slots for the lane of a request.
func (q *Queue) expectedSlots(i *Item, usage SlotUsage) float64 {
	expected := float64(usage.Slots)
	if q.settings.Lanes && i.Long {
		expected = max(q.settings.LongShare*expected, float64(usage.Long))
	} else if q.settings.Lanes {
		expected -= float64(usage.Long)
	}
	return max(1, expected)
}

// maxWait returns how long a request may be queued: a share of the objective, because a longer wait only makes answers
// late, and a share of the time to the deadline, the rest of which is reserved for the run.
func (q *Queue) maxWait(i *Item, now time.Time) time.Duration {
	limit := time.Duration(math.MaxInt64)
	if !i.Deadline.IsZero() {
		remaining := i.Deadline.Sub(now)
		limit = min(time.Duration(q.settings.WaitShare*float64(remaining)), remaining-i.Expected)
	}
	if q.objective > 0 {
		limit = min(limit, time.Duration(q.settings.WaitShare*float64(q.objective)))
	}
	if q.hasOverdue(q.lane(i), now) {
		limit /= overdueDivisor
	}
	return limit
}

// overdueDivisor reduces the allowed wait of new requests while others have waited longer than the objective. Otherwise
// new requests would overtake the overdue ones repeatedly, and those would be refused only at their deadline.
const overdueDivisor = 8

// hasOverdue reports whether a request in the lane has waited longer than the objective.
func (q *Queue) hasOverdue(l *lane, now time.Time) bool {
	if q.objective == 0 {
		return false
	}
	for p := range l.lists {
		if oldest := l.lists[p].oldest; oldest != nil && now.Sub(oldest.Arrived) > q.objective {
			return true
		}
	}
	return false
}

// Push adds a request to the queue.
func (q *Queue) Push(i *Item) {
	l := q.lane(i)
	l.at(i).push(i)
	l.count++
}

// Remove removes a request from the queue.
func (q *Queue) Remove(i *Item) {
	l := q.lane(i)
	l.at(i).remove(i)
	l.count--
}

// Next returns the request for the next free slot without removing it, or nil if no request may run.
func (q *Queue) Next(usage SlotUsage, now time.Time) *Item {
	q.observeShortDemand(usage, now)
	short, long := q.short.highest(), q.long.highest()
	if long != nil && !q.longAllowed(short != nil, usage) {
		long = nil
	}
	switch {
	case short == nil && long == nil:
		return nil
	case short == nil:
		return q.selectFrom(long, now)
	case long == nil || short.oldest.Priority > long.oldest.Priority:
		return q.selectFrom(short, now)
	default:
		return q.selectFrom(long, now)
	}
}

// longAllowed reports whether one more long request may run. While short requests are queued, long requests are limited
// to their share of the slots. Otherwise they may use all slots except those that short requests needed recently, and
// except ShortReserve.
func (q *Queue) longAllowed(shortWaiting bool, usage SlotUsage) bool {
	slots := float64(usage.Slots)
	share := max(1, q.settings.LongShare*slots)
	running := float64(usage.Long)
	if shortWaiting || running < share {
		return running < share
	}
	reserved := max(1, math.Ceil(q.settings.ShortReserve*slots), q.shortDemand)
	return running < slots-reserved
}

// Shortfall returns how many more slots the queued requests could use now, and whether these are only long requests.
func (q *Queue) Shortfall(usage SlotUsage) (count int, longOnly bool) {
	if q.short.count > 0 {
		return q.short.count, false
	}
	if q.long.count == 0 || !q.longAllowed(false, usage) {
		return 0, false
	}
	return q.long.count, true
}

// SpareForLong returns the number of slots that could run more long requests without using those that short requests
// need.
func (q *Queue) SpareForLong(usage SlotUsage) int {
	reserved := max(1, math.Ceil(q.settings.ShortReserve*float64(usage.Slots)), q.shortDemand)
	return max(0, usage.Slots-int(math.Ceil(reserved))-usage.Long)
}

// observeShortDemand decays the recorded peak of running and queued short requests and raises it to the present number.
func (q *Queue) observeShortDemand(usage SlotUsage, now time.Time) {
	if elapsed := now.Sub(q.shortDemandAt); elapsed > 0 {
		q.shortDemand *= math.Exp(-float64(elapsed) / float64(q.settings.DemandDecay))
		q.shortDemandAt = now
	}
	q.shortDemand = max(q.shortDemand, float64(usage.Short+q.short.count))
}

// selectFrom returns the oldest request of a list, or the newest if the oldest has waited longer than the objective.
func (q *Queue) selectFrom(l *list, now time.Time) *Item {
	if q.settings.NewestFirst && q.objective > 0 && now.Sub(l.oldest.Arrived) > q.objective {
		return l.newest
	}
	return l.oldest
}

// Expire removes each queued request that can no longer be answered before its deadline, and calls refuse for it.
func (q *Queue) Expire(now time.Time, refuse func(*Item)) {
	for _, l := range [...]*lane{&q.short, &q.long} {
		for p := range l.lists {
			for i := l.lists[p].oldest; i != nil; {
				next := i.next
				if !i.Deadline.IsZero() && now.Add(i.Expected).After(i.Deadline) {
					q.Remove(i)
					refuse(i)
				}
				i = next
			}
		}
	}
}
