// Package bodybudget decides which request bodies may be held in memory at the same time, and which one gives way to others while the
// memory is used up. It answers clients that send many large bodies and do not end them.
package bodybudget

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
)

// ID identifies a body within a Budget.
type ID uint64

// Budget divides an amount of memory among bodies. Bodies that do not fit wait in the order of their arrival. While one waits, the
// body with the largest product of size and age among those older than the grace period gives way. So a body that is received in time
// is never evicted, a stalled one does not keep its memory, and a client cannot prolong its body's time by sending a little. A Budget is
// not safe for concurrent use.
type Budget struct {
	total, used, leaving oleanderline.ByteCount
	grace                time.Duration
	last                 ID
	held                 map[ID]*body
	waiting              []waiter
}

// Result is what becomes of a body that is added to a Budget.
type Result int

// Results of Add.
const (
	Admitted Result = iota
	Waiting
	Refused // too many bodies wait; it is not part of the budget
)

const (
	// unreadCost is how many bytes of a waiting body the kernel may hold unread. The bodies that wait hold no more than the total.
	unreadCost = 64 << 10
	// minWaiting is how many bodies may wait if the total is small.
	minWaiting = 16
)

type body struct {
	size  oleanderline.ByteCount
	since time.Time
	state state
}

type state int

const (
	stateReceiving state = iota
	stateComplete        // may not be evicted
	stateEvicted         // gives way; its memory is in use until Remove
)

type waiter struct {
	id   ID
	size oleanderline.ByteCount
}

// New returns a Budget of total bytes. Bodies that are younger than grace are not evicted.
func New(total oleanderline.ByteCount, grace time.Duration) *Budget {
	return &Budget{total: total, grace: grace, held: map[ID]*body{}}
}

// Used returns how many bytes are allocated to bodies.
func (b *Budget) Used() oleanderline.ByteCount { return b.used }

// Waiting returns how many bodies wait for memory.
func (b *Budget) Waiting() int { return len(b.waiting) }

// SetTotal changes the total. Bodies that have been admitted keep their memory. It returns the bodies that are admitted now.
func (b *Budget) SetTotal(total oleanderline.ByteCount, now time.Time) []ID {
	b.total = total
	return b.admitWaiting(now)
}

// Add adds a body. If it is not admitted, it waits until SetTotal or Remove returns its ID, unless it is refused. A body that is larger
// than the total is admitted when there is no other.
func (b *Budget) Add(size oleanderline.ByteCount, now time.Time) (ID, Result) {
	b.last++
	if len(b.waiting) == 0 && b.fits(size) {
		b.admit(b.last, size, now)
		return b.last, Admitted
	}
	if len(b.waiting) >= max(minWaiting, int(b.total/unreadCost)) {
		return 0, Refused
	}
	b.waiting = append(b.waiting, waiter{b.last, size})
	return b.last, Waiting
}

// Complete exempts a body from eviction, because it has been received completely. It returns false if the body was evicted before.
func (b *Budget) Complete(id ID) bool {
	held := b.held[id]
	if held == nil || held.state == stateEvicted {
		return false
	}
	held.state = stateComplete
	return true
}

// Remove removes a body, whether it has been admitted or not. It returns the bodies that are admitted now.
func (b *Budget) Remove(id ID, now time.Time) []ID {
	b.waiting = slices.DeleteFunc(b.waiting, func(w waiter) bool { return w.id == id })
	if held := b.held[id]; held != nil {
		delete(b.held, id)
		b.used -= held.size
		if held.state == stateEvicted {
			b.leaving -= held.size
		}
	}
	return b.admitWaiting(now)
}

// Evict returns a body that has to give way, if the body that has waited longest needs more memory than is free or becomes free by
// earlier evictions. The memory is free once the body has been removed.
func (b *Budget) Evict(now time.Time) (id ID, found bool) {
	if !b.needsMemory() {
		return 0, false
	}
	var victim *body
	weight := 0.0
	for candidate, held := range b.held {
		age := now.Sub(held.since)
		if held.state != stateReceiving || age < b.grace {
			continue
		}
		// The smaller ID decides between equal ones, so that the order of the map has no influence.
		if w := float64(held.size) * age.Seconds(); victim == nil || w > weight || w == weight && candidate < id {
			id, victim, weight = candidate, held, w
		}
	}
	if victim == nil {
		return 0, false
	}
	victim.state = stateEvicted
	b.leaving += victim.size
	return id, true
}

// NextEviction returns the time from which Evict may return a body, if a body waits for memory.
func (b *Budget) NextEviction() (at time.Time, found bool) {
	if !b.needsMemory() {
		return time.Time{}, false
	}
	for _, held := range b.held {
		if due := held.since.Add(b.grace); held.state == stateReceiving && (!found || due.Before(at)) {
			at, found = due, true
		}
	}
	return at, found
}

// needsMemory reports whether a body waits for more memory than is free or becomes free by evictions.
func (b *Budget) needsMemory() bool {
	if len(b.waiting) == 0 {
		return false
	}
	remaining := b.used - b.leaving
	return remaining > 0 && remaining+b.waiting[0].size > b.total
}

func (b *Budget) fits(size oleanderline.ByteCount) bool {
	return b.used == 0 || b.used+size <= b.total
}

func (b *Budget) admit(id ID, size oleanderline.ByteCount, now time.Time) {
	b.held[id] = &body{size: size, since: now}
	b.used += size
}

func (b *Budget) admitWaiting(now time.Time) (admitted []ID) {
	for len(b.waiting) > 0 && b.fits(b.waiting[0].size) {
		next := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.admit(next.id, next.size, now)
		admitted = append(admitted, next.id)
	}
	return admitted
}
