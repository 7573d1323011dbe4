// Package queue orders the waiting tasks of one shard. Urgent tasks go first, then tasks that have waited longer than a
// limit. The others are ordered by priority and level: tasks that are expected to run long go after short ones. Part of the
// capacity, depending on the demand of short tasks, is reserved for them. The package has no clock; the caller passes the
// time.
package queue

import (
	"container/heap"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Limits of one pass over the queue.
const (
	// maxNoRoomPerBucket is the number of groups of one bucket that may find no room before the pass skips the rest of the
	// bucket. It limits the cost of a pass on a full shard to 8 placement attempts for each of 10 buckets.
	maxNoRoomPerBucket = 8
	priorities         = int(rules.PriorityHigh)
	buckets            = 1 + priorities*int(levels)
)

// Shape holds the properties that determine the order and placement of a task. The queue holds tasks of the same shape in
// one group: if one of them finds no room, the others are not tried in the same pass. Adding or removing a task takes
// logarithmic time in the number of waiting tasks.
type Shape struct {
	ClassKey
	Kind     oleanderline.TaskKind
	Size     oleanderline.Size
	Urgent   bool
	Guest    bool  // the task belongs to a job of another shard
	Failures int   // number of failed attempts; a task avoids the workers on which it failed
	MinLevel Level // minimum level, from the time that earlier attempts have run
}

// Settings are the parameters of the queue.
type Settings struct {
	MaxWait  time.Duration // a task that has waited longer goes before all but urgent tasks
	Reserve  float64       // maximum share of the shard's CPUs that is reserved for short tasks
	Headroom float64       // reserve as a multiple of the mean demand of short tasks
	Disabled Disabled
}

// Disabled disables mechanisms. It is used only in tests, to show that their checks fail without the mechanism.
type Disabled struct {
	Levels     bool // treat all tasks as short when ordering them
	Reserve    bool // reserve nothing for short tasks
	Starvation bool // ignore MaxWait
}

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{MaxWait: 10 * time.Minute, Reserve: 0.25, Headroom: 1.5}
}

// Verdict is the result of a visit of Each.
type Verdict int

// Verdicts.
const (
	NoRoom  Verdict = iota // there is no room for tasks of this shape; counts towards maxNoRoomPerBucket
	Placed                 // the task was placed and is removed from the queue
	Blocked                // tasks of this shape may not be placed now for another reason than room; not counted
	Stop                   // the task stays in the queue and the pass ends
)

// Queue holds the waiting tasks. T is the caller's type of a task. It is not safe for concurrent use.
type Queue[T comparable] struct {
	settings    Settings
	classes     *Classes
	rules       *rules.Set
	demand      demand
	delayed     delayed[T]
	entries     map[T]*entry[T]
	groups      map[Shape]*group[T]
	buckets     [buckets]bucket[T] // urgent, then by falling priority and rising level
	seq         uint64
	knownLevels map[ClassKey]Level
}

// New returns an empty queue that orders tasks by the run time estimates of classes.
func New[T comparable](settings Settings, classes *Classes) *Queue[T] {
	return &Queue[T]{
		settings: settings, classes: classes, rules: &rules.Set{},
		entries: map[T]*entry[T]{}, groups: map[Shape]*group[T]{}, knownLevels: map[ClassKey]Level{},
	}
}

// SetRules replaces the class rules.
func (q *Queue[T]) SetRules(set *rules.Set) {
	q.rules = set
	for _, g := range q.groups {
		q.rebucket(g)
	}
}

// Len returns the number of waiting tasks.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Urgent returns the number of waiting urgent tasks that are not delayed.
func (q *Queue[T]) Urgent() int {
	n := 0
	for _, g := range q.groups {
		if g.shape.Urgent {
			n += len(g.entries)
		}
	}
	return n
}

// Push adds a task that has been waiting since a time and may not start before notBefore. It has no effect if the task is
// already in the queue.
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
	q.addToGroup(e)
}

func (q *Queue[T]) addToGroup(e *entry[T]) {
	g := q.groups[e.shape]
	if g == nil {
		g = &group[T]{shape: e.shape, index: -1}
		q.groups[e.shape] = g
	}
	e.group = g
	heap.Push(&g.entries, e)
	q.rebucket(g)
}

// Drop removes a task if it is in the queue.
func (q *Queue[T]) Drop(item T) {
	e := q.entries[item]
	if e == nil {
		return
	}
	delete(q.entries, item)
	if e.group == nil {
		heap.Remove(&q.delayed, e.index)
		return
	}
	heap.Remove(&e.group.entries, e.index)
	q.rebucket(e.group)
}

// UpdateClass moves the groups of a class to other buckets if the class has a new level. The caller calls it after Classes.Observe.
func (q *Queue[T]) UpdateClass(key ClassKey) { q.updateLevel(key) }

func (q *Queue[T]) updateLevel(key ClassKey) {
	level := LevelOf(q.classes.Expected(key))
	if known, ok := q.knownLevels[key]; ok && known == level {
		return
	}
	q.knownLevels[key] = level
	for _, g := range q.groups {
		if g.shape.ClassKey == key {
			q.rebucket(g)
		}
	}
}

// Short reports whether tasks of a shape may use the reserve for short tasks.
func (q *Queue[T]) Short(shape Shape) bool { return q.Level(shape) == LevelShort }

// Level returns the level of tasks of a shape.
func (q *Queue[T]) Level(shape Shape) Level {
	if class, ok := q.rules.JobClass(shape.Class); ok && class.Long {
		return LevelLong
	}
	return max(shape.MinLevel, LevelOf(q.classes.Expected(shape.ClassKey)))
}

// bucketFor returns the index of the bucket for a shape.
func (q *Queue[T]) bucketFor(shape Shape) int {
	if shape.Urgent {
		return 0
	}
	priority := rules.PriorityNormal
	if class, ok := q.rules.JobClass(shape.Class); ok && class.Priority != 0 {
		priority = class.Priority
	}
	level := q.Level(shape)
	if q.settings.Disabled.Levels {
		level = LevelShort
	}
	return 1 + int(rules.PriorityHigh-priority)*int(levels) + int(level)
}

// rebucket moves a group to its current bucket and updates its position there. It deletes the group if it is empty.
func (q *Queue[T]) rebucket(g *group[T]) {
	target := q.bucketFor(g.shape)
	if g.index >= 0 && (g.bucket != target || len(g.entries) == 0) {
		heap.Remove(&q.buckets[g.bucket], g.index)
	}
	switch {
	case len(g.entries) == 0:
		delete(q.groups, g.shape)
	case g.index >= 0:
		heap.Fix(&q.buckets[target], g.index)
	default:
		g.bucket = target
		heap.Push(&q.buckets[target], g)
	}
}
