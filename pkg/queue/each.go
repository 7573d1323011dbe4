package queue

import (
	"container/heap"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Load is what the shard's workers hold at the begin of a pass.
type Load struct {
	Capacity oleanderline.Millicores
	Long     oleanderline.Millicores // committed to batch tasks that are not short
}

// pass is one walk over the queue.
type pass[T comparable] struct {
	q       *Queue[T]
	now     time.Time
	long    oleanderline.Millicores
	reserve oleanderline.Millicores
	most    oleanderline.Millicores // for long
	aside   []*group[T]             // found no room
	misfits [buckets]int
}

// Each offers waiting tasks in order until visit has enough. visit is told whether the task has waited beyond the bound.
func (q *Queue[T]) Each(now time.Time, load Load, visit func(item T, starved bool) Verdict) {
	for len(q.delayed.entryHeap) > 0 && !q.delayed.entryHeap[0].notBefore.After(now) {
		if e, ok := heap.Pop(&q.delayed).(*entry[T]); ok {
			q.enter(e)
		}
	}
	reserve := q.Reserve(now, load.Capacity)
	p := &pass[T]{q: q, now: now, long: load.Long, reserve: reserve, most: load.Capacity - reserve}
	for p.step(visit) {
	}
	for _, g := range p.aside {
		if g.at < 0 && len(g.entries) > 0 {
			heap.Push(&q.buckets[g.bucket], g)
		}
	}
}

// Reserve returns what is kept for short work now.
func (q *Queue[T]) Reserve(now time.Time, capacity oleanderline.Millicores) oleanderline.Millicores {
	if q.settings.Without.Reserve {
		return 0
	}
	wanted := q.settings.Headroom * q.demand.mean(now)
	return oleanderline.Millicores(min(wanted, q.settings.Reserve*float64(capacity)))
}

func (p *pass[T]) step(visit func(T, bool) Verdict) bool {
	g, starved := p.next()
	if g == nil {
		return false
	}
	e := g.head()
	bounded := p.bounded(g.shape)
	verdict := Misfit
	if !bounded || p.long+g.shape.Size.CPU <= p.most {
		verdict = visit(e.item, starved)
	}
	switch verdict {
	case Placed:
		if bounded {
			p.long += g.shape.Size.CPU
		}
		p.q.Drop(e.item)
	case Misfit, Blocked:
		if verdict == Misfit {
			p.misfits[g.bucket]++
		}
		heap.Remove(&p.q.buckets[g.bucket], g.at)
		p.aside = append(p.aside, g)
	default:
		return false
	}
	return true
}

// bounded reports whether a shape must leave the reserve free. Nothing is kept while there is no short work, so that
// workers can be assigned work ahead beyond their capacity.
func (p *pass[T]) bounded(shape Shape) bool {
	return p.reserve > 0 && !shape.Urgent && shape.Kind == oleanderline.KindBatch && !p.q.Short(shape)
}

// next returns the group whose oldest task goes next.
func (p *pass[T]) next() (*group[T], bool) {
	if g := p.top(0); g != nil {
		return g, false
	}
	var first, oldest *group[T]
	for i := 1; i < len(p.q.buckets); i++ {
		g := p.top(i)
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
	if oldest != nil && !p.q.settings.Without.Starvation && p.now.Sub(oldest.head().since) > p.q.settings.MaxWait {
		return oldest, true
	}
	return first, false
}

func (p *pass[T]) top(i int) *group[T] {
	if b := p.q.buckets[i]; len(b) > 0 && p.misfits[i] < maxMisfits {
		return b[0]
	}
	return nil
}
