package queue

import "time"

// entry is one waiting task.
type entry[T any] struct {
	item      T
	shape     Shape
	group     *group[T] // nil while the task is delayed
	since     time.Time
	notBefore time.Time
	seq       uint64
	index     int // in the heap of the group, or in that of the delayed tasks
}

func (e *entry[T]) before(other *entry[T]) bool {
	if !e.since.Equal(other.since) {
		return e.since.Before(other.since)
	}
	return e.seq < other.seq
}

// group holds the waiting tasks of one shape in a heap with the oldest task at the top.
type group[T any] struct {
	shape   Shape
	entries entryHeap[T]
	bucket  int
	index   int // in the heap of the bucket, or -1 if the group is in none
}

func (g *group[T]) head() *entry[T] { return g.entries[0] }

// entryHeap implements heap.Interface.
type entryHeap[T any] []*entry[T]

func (h entryHeap[T]) Len() int           { return len(h) }
func (h entryHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h entryHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *entryHeap[T]) Push(x any) {
	e, _ := x.(*entry[T])
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *entryHeap[T]) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// bucket holds the groups of one priority and level in a heap with the group of the oldest task at the top. It implements
// heap.Interface.
type bucket[T any] []*group[T]

func (b bucket[T]) Len() int           { return len(b) }
func (b bucket[T]) Less(i, j int) bool { return b[i].head().before(b[j].head()) }

func (b bucket[T]) Swap(i, j int) {
	b[i], b[j] = b[j], b[i]
	b[i].index, b[j].index = i, j
}

// Push implements heap.Interface.
func (b *bucket[T]) Push(x any) {
	g, _ := x.(*group[T])
	g.index = len(*b)
	*b = append(*b, g)
}

// Pop implements heap.Interface.
func (b *bucket[T]) Pop() any {
	last := len(*b) - 1
	g := (*b)[last]
	(*b)[last] = nil
	*b = (*b)[:last]
	g.index = -1
	return g
}

// delayed holds the tasks that may not start yet, in a heap by earliest start time. It implements heap.Interface.
type delayed[T any] struct{ entryHeap[T] }

// Less implements heap.Interface.
func (d *delayed[T]) Less(i, j int) bool {
	return d.entryHeap[i].notBefore.Before(d.entryHeap[j].notBefore)
}
