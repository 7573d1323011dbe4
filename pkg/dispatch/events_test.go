package dispatch

import (
	"container/heap"
	"time"
)

// events is an event queue on virtual time. Events with the same time run in the order in which they were added.
type events struct {
	now  time.Time
	heap eventHeap
	seq  int
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

// after schedules a function to run after a delay.
func (e *events) after(d time.Duration, run func()) {
	e.seq++
	heap.Push(&e.heap, event{at: e.now.Add(d), seq: e.seq, run: run})
}

// runUntil runs all events up to and including a time.
func (e *events) runUntil(end time.Time) {
	for len(e.heap) > 0 && !e.heap[0].at.After(end) {
		next := heap.Pop(&e.heap).(event)
		e.now = next.at
		next.run()
	}
	e.now = end
}
