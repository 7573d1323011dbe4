package queue

import (
	"container/heap"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Load describes the CPUs of the shard's workers at the start of a pass.
type Load struct {
	Capacity oleanderline.Millicores
	Long     oleanderline.Millicores // committed to batch tasks that are neither short nor urgent
}

// pass is the state of one iteration over the queue.
type pass[T comparable] struct {
	q            *Queue[T]
	now          time.Time
	long         oleanderline.Millicores
	reserve      oleanderline.Millicores
	maxLong      oleanderline.Millicores // limit of long
	skipped      []*group[T]             // groups that are not tried again in this pass
	noRoomCounts [buckets]int
}

// Each calls visit for waiting tasks in queue order until visit returns Stop or no task is left to try. starved is set if
// the task goes first because it has waited longer than Settings.MaxWait.
func (q *Queue[T]) Each(now time.Time, load Load, visit func(item T, starved bool) Verdict) {
	for len(q.delayed.entryHeap) > 0 && !q.delayed.entryHeap[0].notBefore.After(now) {
		if e, ok := heap.Pop(&q.delayed).(*entry[T]); ok {
			q.addToGroup(e)
		}
	}
	reserve := q.Reserve(now, load.Capacity)
	p := &pass[T]{q: q, now: now, long: load.Long, reserve: reserve, maxLong: load.Capacity - reserve}
	for p.step(visit) {
	}
	for _, g := range p.skipped {
		if g.index < 0 && len(g.entries) > 0 {
			heap.Push(&q.buckets[g.bucket], g)
		}
	}
}

// Reserve returns the CPUs that are currently reserved for short tasks.
func (q *Queue[T]) Reserve(now time.Time, capacity oleanderline.Millicores) oleanderline.Millicores {
	if q.settings.Disabled.Reserve {
		return 0
	}
	target := q.settings.Headroom * q.demand.mean(now)
	return oleanderline.Millicores(min(target, q.settings.Reserve*float64(capacity)))
}

func (p *pass[T]) step(visit func(T, bool) Verdict) bool {
	g, starved := p.next()
	if g == nil {
		return false
	}
	e := g.head()
	limited := p.limitedByReserve(g.shape)
	verdict := NoRoom
	if !limited || p.long+g.shape.Size.CPU <= p.maxLong {
		verdict = visit(e.item, starved)
	}
	switch verdict {
	case Placed:
		if limited {
			p.long += g.shape.Size.CPU
		}
		p.q.Drop(e.item)
	case NoRoom, Blocked:
		if verdict == NoRoom {
			p.noRoomCounts[g.bucket]++
		}
		heap.Remove(&p.q.buckets[g.bucket], g.index)
		p.skipped = append(p.skipped, g)
	default:
		return false
	}
	return true
}

// limitedByReserve reports whether tasks of a shape must leave the reserve free. Without demand of short tasks there is no
// limit, so that tasks can be assigned to workers ahead of time, beyond their capacity.
func (p *pass[T]) limitedByReserve(shape Shape) bool {
	return p.reserve > 0 && !shape.Urgent && shape.Kind == oleanderline.KindBatch && !p.q.Short(shape)
}

// next returns the group with the next task to try, and whether it goes first because its task is starved.
func (p *pass[T]) next() (*group[T], bool) {
	if g := p.bucketTop(0); g != nil {
		return g, false
	}
	var first, oldest *group[T]
	for i := 1; i < len(p.q.buckets); i++ {
		g := p.bucketTop(i)
		if g == nil {
			continue
		}
		if first == nil {
			first = g
		}
		if oldest == nil || g.head().before(oldest.head()) {
			oldest = g
		}
	}
	if oldest != nil && !p.q.settings.Disabled.Starvation && p.now.Sub(oldest.head().since) > p.q.settings.MaxWait {
		return oldest, true
	}
	return first, false
}

func (p *pass[T]) bucketTop(i int) *group[T] {
	if b := p.q.buckets[i]; len(b) > 0 && p.noRoomCounts[i] < maxNoRoomPerBucket {
		return b[0]
	}
	return nil
}
