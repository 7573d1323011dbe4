// Package admit decides which requests of one service may wait, for how long, and which one is next.
package admit

import (
	"math"
	"time"

	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Settings of a Gate.
type Settings struct {
	Bound       int           // requests that may wait
	Estimate    bool          // refuse at once what would wait too long
	WaitShare   float64       // part of the objective, or of the time to the deadline, that may be spent waiting
	NewestFirst bool          // serve the newest first when the queueing delay exceeds the objective
	Lanes       bool          // separate shares for long and short requests
	LongShare   float64       // part of the slots that long requests get while short ones wait
	ShortKept   float64       // part of the slots that long requests never take
	NeedFade    time.Duration // time in which the remembered need of short requests falls to a third
}

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{
		Bound:       1024,
		Estimate:    true,
		WaitShare:   0.5, // leaves room for errors of the estimate and for run times above the mean
		NewestFirst: true,
		Lanes:       true,
		LongShare:   0.2, // below the share of the work that long requests have, so that short ones wait less
		ShortKept:   0.15,
		NeedFade:    time.Second,
	}
}

// Room is the state of the slots that a Gate hands out.
type Room struct {
	Slots int // usable by this entry, busy or not
	Long  int // busy with long requests
	Short int // busy with short requests
}

// Verdict tells what to do with a new request.
type Verdict int

// Verdicts.
const (
	VerdictWait Verdict = iota
	VerdictFull
	VerdictLate
)

// Gate is the queue of one service at one entry.
type Gate struct {
	settings  Settings
	objective time.Duration // latency of the service's slo rule; zero: none
	short     lane
	long      lane
	need      float64 // recent peak of short requests that run or wait
	needAt    time.Time
}

// NewGate returns an empty gate.
func NewGate(settings Settings) *Gate {
	return &Gate{settings: settings}
}

// SetObjective sets the latency of the service's slo rule.
func (g *Gate) SetObjective(latency time.Duration) { g.objective = latency }

// Len returns the number of waiting requests.
func (g *Gate) Len() int { return g.short.count + g.long.count }

// Waiting returns the numbers of short and long requests that wait.
func (g *Gate) Waiting() (short, long int) { return g.short.count, g.long.count }

func (g *Gate) lane(i *Item) *lane {
	if i.Long && g.settings.Lanes {
		return &g.long
	}
	return &g.short
}

// Admit decides whether a request may wait.
func (g *Gate) Admit(i *Item, room Room, now time.Time) Verdict {
	if g.full(i) {
		return VerdictFull
	}
	if !i.Deadline.IsZero() && now.Add(i.Expected).After(i.Deadline) {
		return VerdictLate
	}
	if g.settings.Estimate && g.Wait(i, room) > g.budget(i, now) {
		return VerdictLate
	}
	return VerdictWait
}

// full keeps some of the queue for requests of a higher priority, and half of it for short ones.
func (g *Gate) full(i *Item) bool {
	bound := g.settings.Bound
	if g.settings.Lanes && i.Long && g.long.count >= bound/2 {
		return true
	}
	switch i.Priority {
	case rules.PriorityLow:
		bound -= bound / 2
	case rules.PriorityHigh:
	default:
		bound -= bound / 8
	}
	return g.Len() >= bound
}

// Wait estimates how long a new request would wait.
func (g *Gate) Wait(i *Item, room Room) time.Duration {
	slots := g.slotsFor(i, room)
	work := g.lane(i).workFrom(i.Priority)
	return time.Duration(float64(work) / slots)
}

// slotsFor returns the number of slots that the lane of a request can expect.
func (g *Gate) slotsFor(i *Item, room Room) float64 {
	slots := float64(room.Slots)
	if g.settings.Lanes && i.Long {
		slots = max(g.settings.LongShare*slots, float64(room.Long))
	} else if g.settings.Lanes {
		slots -= float64(room.Long)
	}
	return max(1, slots)
}

// budget returns how long a request may wait. A queue longer than the objective only makes answers late, and a part of
// the time to the deadline is kept for the run.
func (g *Gate) budget(i *Item, now time.Time) time.Duration {
	budget := time.Duration(math.MaxInt64)
	if !i.Deadline.IsZero() {
		left := i.Deadline.Sub(now)
		budget = min(time.Duration(g.settings.WaitShare*float64(left)), left-i.Expected)
	}
	if g.objective > 0 {
		budget = min(budget, time.Duration(g.settings.WaitShare*float64(g.objective)))
	}
	if g.stale(g.lane(i), now) {
		budget /= staleCut
	}
	return budget
}

// staleCut divides the time that a new request may wait while requests wait for longer than the objective. Otherwise those
// would be overtaken again and again, and refused only at their deadline.
const staleCut = 8

func (g *Gate) stale(l *lane, now time.Time) bool {
	if g.objective == 0 {
		return false
	}
	for p := range l.lists {
		if oldest := l.lists[p].oldest; oldest != nil && now.Sub(oldest.Arrived) > g.objective {
			return true
		}
	}
	return false
}

// Push puts a request into the queue.
func (g *Gate) Push(i *Item) {
	l := g.lane(i)
	l.at(i).push(i)
	l.count++
}

// Remove takes a request out of the queue.
func (g *Gate) Remove(i *Item) {
	l := g.lane(i)
	l.at(i).remove(i)
	l.count--
}

// Next returns the request that gets the next free slot, or nil. The request stays in the queue.
func (g *Gate) Next(room Room, now time.Time) *Item {
	g.observeNeed(room, now)
	short, long := g.short.highest(), g.long.highest()
	if long != nil && !g.longAllowed(short != nil, room) {
		long = nil
	}
	switch {
	case short == nil && long == nil:
		return nil
	case short == nil:
		return g.first(long, now)
	case long == nil || short.oldest.Priority > long.oldest.Priority:
		return g.first(short, now)
	default:
		return g.first(long, now)
	}
}

// longAllowed reports whether one more long request may run. While short requests wait, long ones get their share and no
// more. Otherwise they get all but the slots that short requests needed recently, and always leave some.
func (g *Gate) longAllowed(shortWaits bool, room Room) bool {
	slots := float64(room.Slots)
	share := max(1, g.settings.LongShare*slots)
	running := float64(room.Long)
	if shortWaits || running < share {
		return running < share
	}
	kept := max(1, math.Ceil(g.settings.ShortKept*slots), g.need)
	return running < slots-kept
}

// Missing returns how many more slots waiting requests could use now, and whether only long requests wait.
func (g *Gate) Missing(room Room) (count int, long bool) {
	if g.short.count > 0 {
		return g.short.count, false
	}
	if g.long.count == 0 || !g.longAllowed(false, room) {
		return 0, false
	}
	return g.long.count, true
}

// SpareForLong returns the number of slots that could run more long requests without taking what short ones need.
func (g *Gate) SpareForLong(room Room) int {
	kept := max(1, math.Ceil(g.settings.ShortKept*float64(room.Slots)), g.need)
	return max(0, room.Slots-int(math.Ceil(kept))-room.Long)
}

// observeNeed remembers the peak of the short requests that run or wait, and lets it fade.
func (g *Gate) observeNeed(room Room, now time.Time) {
	if passed := now.Sub(g.needAt); passed > 0 {
		g.need *= math.Exp(-float64(passed) / float64(g.settings.NeedFade))
		g.needAt = now
	}
	g.need = max(g.need, float64(room.Short+g.short.count))
}

func (g *Gate) first(l *list, now time.Time) *Item {
	if g.settings.NewestFirst && g.objective > 0 && now.Sub(l.oldest.Arrived) > g.objective {
		return l.newest
	}
	return l.oldest
}

// Expire calls refuse for each waiting request that can no longer be answered before its deadline, and removes it.
func (g *Gate) Expire(now time.Time, refuse func(*Item)) {
	for _, l := range [...]*lane{&g.short, &g.long} {
		for p := range l.lists {
			for i := l.lists[p].oldest; i != nil; {
				next := i.next
				if !i.Deadline.IsZero() && now.Add(i.Expected).After(i.Deadline) {
					g.Remove(i)
					refuse(i)
				}
				i = next
			}
		}
	}
}
