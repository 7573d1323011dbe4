package admit

import (
	"time"

	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Item is a request in a Queue. It is embedded in the caller's record, so that queueing allocates nothing.
type Item struct {
	ID       uint64
	Priority rules.Priority
	Long     bool
	Arrived  time.Time
	Deadline time.Time     // zero: none
	Expected time.Duration // run time to expect

	next, prev *Item
	queued     bool
}

// Queued reports whether the item is in a queue.
func (i *Item) Queued() bool { return i.queued }

const priorities = int(rules.PriorityHigh)

// list is a doubly linked list of items of one priority and one lane, oldest first.
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

// lane holds the requests of one length, by priority.
type lane struct {
	lists [priorities]list
	count int
}

func (l *lane) at(i *Item) *list {
	return &l.lists[index(i.Priority)]
}

func index(p rules.Priority) int {
	if p < rules.PriorityLow || p > rules.PriorityHigh {
		return int(rules.PriorityNormal) - 1
	}
	return int(p) - 1
}

// highest returns the non-empty list with the highest priority, or nil.
func (l *lane) highest() *list {
	for p := priorities - 1; p >= 0; p-- {
		if l.lists[p].oldest != nil {
			return &l.lists[p]
		}
	}
	return nil
}

// workFrom returns the expected work of the requests with at least a priority.
func (l *lane) workFrom(p rules.Priority) time.Duration {
	var work time.Duration
	for i := index(p); i < priorities; i++ {
		work += l.lists[i].work
	}
	return work
}
