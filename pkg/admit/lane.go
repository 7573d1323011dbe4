package admit

import (
	"time"

	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Item is a request in a Queue. Embed it in the caller's request record, so that queueing does not allocate.
type Item struct {
	ID       uint64
	Priority rules.Priority
	Long     bool
	Arrived  time.Time
	Deadline time.Time     // zero: no deadline
	Expected time.Duration // expected run time

	next, prev *Item
	queued     bool
}

// Queued reports whether the item is in a queue.
func (i *Item) Queued() bool { return i.queued }

const priorityCount = int(rules.PriorityHigh)

// list is a doubly linked list of the items of one priority in one lane, oldest first.
type list struct {
	oldest, newest *Item
	work           time.Duration // sum of the expected run times
}

func (l *list) push(i *Item) {
	i.prev, i.next, i.queued = l.newest, nil, true
	if l.newest != nil {
		l.newest.next = i
	} else {
		l.oldest = i
	}
	l.newest = i
	l.work += i.Expected
}

func (l *list) remove(i *Item) {
	if i.prev != nil {
		i.prev.next = i.next
	} else {
		l.oldest = i.next
	}
	if i.next != nil {
		i.next.prev = i.prev
	} else {
		l.newest = i.prev
	}
	i.prev, i.next, i.queued = nil, nil, false
	l.work -= i.Expected
}

// lane holds the short or the long requests, by priority.
type lane struct {
	lists [priorityCount]list
	count int
}

func (l *lane) at(i *Item) *list {
	return &l.lists[priorityIndex(i.Priority)]
}

// priorityIndex returns the index into lane.lists. Unknown priorities count as normal.
func priorityIndex(p rules.Priority) int {
	if p < rules.PriorityLow || p > rules.PriorityHigh {
		return int(rules.PriorityNormal) - 1
	}
	return int(p) - 1
}

// highest returns the non-empty list with the highest priority, or nil.
func (l *lane) highest() *list {
	for p := priorityCount - 1; p >= 0; p-- {
		if l.lists[p].oldest != nil {
			return &l.lists[p]
		}
	}
	return nil
}

// workAtOrAbove returns the sum of the expected run times of the requests with at least the given priority.
func (l *lane) workAtOrAbove(p rules.Priority) time.Duration {
	var work time.Duration
	for i := priorityIndex(p); i < priorityCount; i++ {
		work += l.lists[i].work
	}
	return work
}
