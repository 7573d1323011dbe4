package burn

import "time"

// cell is one bucket; 32 bits hold over a million requests a second for an hour.
type cell struct{ good, bad uint32 }

func (c cell) count() Count { return Count{Good: uint64(c.good), Bad: uint64(c.bad)} }

// ring holds the newest buckets of one level. Each bucket is named by its number since the epoch.
type ring struct {
	newest int64
	cells  []cell
}

// series counts the requests of one service, class, minion or failure domain. It takes about 1.7 kB.
type series struct {
	last  time.Time
	rings [len(levels)]ring
}

func newSeries(now time.Time) *series {
	s := &series{last: now}
	for i, l := range levels {
		s.rings[i] = ring{newest: bucket(now, l), cells: make([]cell, l.long)}
	}
	return s
}

func bucket(now time.Time, l level) int64 {
	return now.UnixNano() / int64(l.width)
}

func (s *series) record(now time.Time, good bool) {
	if now.After(s.last) {
		s.last = now
	}
	for i := range s.rings {
		// A clock that goes back adds to the newest bucket.
		c := s.rings[i].at(bucket(s.last, levels[i]))
		if good {
			c.good++
		} else {
			c.bad++
		}
	}
}

// at returns the bucket with the number, after emptying the buckets that were passed over.
func (r *ring) at(number int64) *cell {
	size := int64(len(r.cells))
	for n := max(r.newest+1, number-size+1); n <= number; n++ {
		r.cells[n%size] = cell{}
	}
	r.newest = max(r.newest, number)
	return &r.cells[number%size]
}

// sum adds up the newest n buckets as of the bucket with the number.
func (r *ring) sum(number int64, n int) Count {
	var total Count
	size := int64(len(r.cells))
	for i := number; i > number-int64(n); i-- {
		if i <= r.newest && i > r.newest-size {
			total = total.Add(r.cells[i%size].count())
		}
	}
	return total
}

func (s *series) counts(now time.Time) Counts {
	var c Counts
	if now.Before(s.last) {
		now = s.last
	}
	for i, l := range levels {
		number := bucket(now, l)
		c[2*i] = s.rings[i].sum(number, l.long)
		c[2*i+1] = s.rings[i].sum(number, l.short)
	}
	return c
}

// recent returns the buckets of the 6 h window, oldest first.
func (s *series) recent(now time.Time) []Count {
	const middle = 1
	number := bucket(now, levels[middle])
	history := make([]Count, levels[middle].long)
	for i := range history {
		history[i] = s.rings[middle].sum(number-int64(len(history)-1-i), 1)
	}
	return history
}
