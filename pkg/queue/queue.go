// Package queue orders the waiting tasks of one shard. Urgent tasks go first, then tasks that have waited beyond a bound,
// then by priority and level: tasks that are expected to run long sink below short ones. A part of the capacity that
// follows the demand of short work is kept free of longer work. The package has no clock; the caller passes the time.
package queue

import (
	"container/heap"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Bounds of one pass over the queue.
const (
	// maxMisfits is how many groups of one bucket may find no room before the pass leaves the bucket. It bounds the cost
	// of a pass on a full shard to 8 placements for each of 10 buckets.
	maxMisfits = 8
	priorities = int(rules.PriorityHigh)
	buckets    = 1 + priorities*int(levels)
)

// Shape is what tasks that are treated alike have in common. The queue holds them in one group: if one finds no room, the
// others are not tried in the same pass, and a task costs logarithmic time however many wait.
type Shape struct {
	ClassKey
	Kind     oleanderline.TaskKind
	Size     oleanderline.Size
	Urgent   bool
	Guest    bool  // of a job of another shard
	Failures int   // a task avoids the workers on which it failed
	Sunk     Level // least level, from the time that the task has already run
}

// Settings are the bounds of the order.
type Settings struct {
	MaxWait  time.Duration // a task that has waited longer goes next
	Reserve  float64       // most of the shard's processors that are kept for short work
	Headroom float64       // reserve as a multiple of the mean demand of short work
	Without  Without
}

// Without switches mechanisms off. It is used only in tests, which show that the checks notice.
type Without struct {
	Levels     bool // by arrival instead of by level
	Reserve    bool // nothing is kept for short work
	Starvation bool // a long wait changes nothing
}

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{MaxWait: 10 * time.Minute, Reserve: 0.25, Headroom: 1.5}
}

// Verdict is what the caller of Each did with a task.
type Verdict int

// Verdicts.
const (
	Misfit  Verdict = iota // there is no room for it or others of its shape
	Placed                 // it leaves the queue
	Blocked                // it may not be placed now; this says nothing about the room for others
	Enough                 // it stays, and the pass ends
)

// Queue holds the waiting tasks. T is the caller's task.
type Queue[T comparable] struct {
	settings Settings
	classes  *Classes
	rules    *rules.Set
	demand   demand
	delayed  delayed[T]
	entries  map[T]*entry[T]
	groups   map[Shape]*group[T]
	buckets  [buckets]bucket[T] // urgent, then by falling priority and rising level
	seq      uint64
	known    map[ClassKey]Level
}

// New returns an empty queue that orders by the classes' run times.
func New[T comparable](settings Settings, classes *Classes) *Queue[T] {
	return &Queue[T]{
		settings: settings, classes: classes, rules: &rules.Set{},
		entries: map[T]*entry[T]{}, groups: map[Shape]*group[T]{}, known: map[ClassKey]Level{},
	}
}

// SetRules replaces the class rules.
func (q *Queue[T]) SetRules(set *rules.Set) {
	q.rules = set
	for _, g := range q.groups {
		q.move(g)
	}
}

// Len returns the number of waiting tasks.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Urgent returns the number of urgent tasks that may start.
func (q *Queue[T]) Urgent() int {
	n := 0
	for _, g := range q.groups {
		if g.shape.Urgent {
			n += len(g.entries)
		}
	}
	return n
}

// Push adds a task that waits since a time and may not start before another. A task that is already there stays as it is.
func (q *Queue[T]) Push(item T, shape Shape, since, notBefore, now time.Time) {
	if q.entries[item] != nil {
		return
	}
	q.seq++
	e := &entry[T]{item: item, shape: shape, since: since, notBefore: notBefore, seq: q.seq}
	q.entries[item] = e
	if q.Short(shape) {
		q.demand.add(now, float64(shape.Size.CPU)*q.classes.Expected(shape.ClassKey).Seconds())
	}
	if notBefore.After(now) {
		heap.Push(&q.delayed, e)
		return
	}
	q.enter(e)
}

func (q *Queue[T]) enter(e *entry[T]) {
	g := q.groups[e.shape]
	if g == nil {
		g = &group[T]{shape: e.shape, at: -1}
		q.groups[e.shape] = g
	}
	e.group = g
	heap.Push(&g.entries, e)
	q.move(g)
}

// Drop removes a task, if it is there.
func (q *Queue[T]) Drop(item T) {
	e := q.entries[item]
	if e == nil {
		return
	}
	delete(q.entries, item)
	if e.group == nil {
		heap.Remove(&q.delayed, e.at)
		return
	}
	heap.Remove(&e.group.entries, e.at)
	q.move(e.group)
}

// Learned places the groups of a class anew after its run time was learned.
func (q *Queue[T]) Learned(key ClassKey) { q.relevel(key) }

func (q *Queue[T]) relevel(key ClassKey) {
	level := LevelOf(q.classes.Expected(key))
	if known, ok := q.known[key]; ok && known == level {
		return
	}
	q.known[key] = level
	for _, g := range q.groups {
		if g.shape.ClassKey == key {
			q.move(g)
		}
	}
}

// Short reports whether tasks of a shape may use what is kept for short work.
func (q *Queue[T]) Short(shape Shape) bool { return q.Level(shape) == LevelShort }

// Level returns the level of tasks of a shape.
func (q *Queue[T]) Level(shape Shape) Level {
	if class, ok := q.rules.JobClass(shape.Class); ok && class.Long {
		return LevelLong
	}
	return max(shape.Sunk, LevelOf(q.classes.Expected(shape.ClassKey)))
}

// place returns the bucket of a shape.
func (q *Queue[T]) place(shape Shape) int {
	if shape.Urgent {
		return 0
	}
	priority := rules.PriorityNormal
	if class, ok := q.rules.JobClass(shape.Class); ok && class.Priority != 0 {
		priority = class.Priority
	}
	level := q.Level(shape)
	if q.settings.Without.Levels {
		level = LevelShort
	}
	return 1 + int(rules.PriorityHigh-priority)*int(levels) + int(level)
}

// move puts a group into the bucket where it belongs now.
func (q *Queue[T]) move(g *group[T]) {
	want := q.place(g.shape)
	if g.at >= 0 && (g.bucket != want || len(g.entries) == 0) {
		heap.Remove(&q.buckets[g.bucket], g.at)
	}
	switch {
	case len(g.entries) == 0:
		delete(q.groups, g.shape)
	case g.at >= 0:
		heap.Fix(&q.buckets[want], g.at)
	default:
		g.bucket = want
		heap.Push(&q.buckets[want], g)
	}
}
