package burn

import "time"

// bucket holds the counts of one time interval. 32 bits are enough for over a million requests per second for an hour.
type bucket struct{ good, bad uint32 }

func (b bucket) count() Count { return Count{Good: uint64(b.good), Bad: uint64(b.bad)} }

// ring is a ring buffer of the newest buckets of one level. Buckets are numbered since the Unix epoch; the bucket with number
// n is at index n modulo the size.
type ring struct {
	newest  int64 // number of the newest bucket
	buckets []bucket
}

// series holds the counts of one service, class, minion or failure domain. Its size is about 1.7 kB.
type series struct {
	lastRequest time.Time
	rings       [len(levels)]ring
}

func newSeries(now time.Time) *series {
	s := &series{lastRequest: now}
	for i, l := range levels {
		s.rings[i] = ring{newest: bucketNumber(now, l), buckets: make([]bucket, l.longBuckets)}
	}
	return s
}

// bucketNumber returns the number of the bucket that contains now.
func bucketNumber(now time.Time, l level) int64 {
	return now.UnixNano() / int64(l.bucketWidth)
}

func (s *series) record(now time.Time, good bool) {
	if now.After(s.lastRequest) {
		s.lastRequest = now
	}
	for i := range s.rings {
		// If the clock went back, the request is added to the newest bucket.
		b := s.rings[i].bucketAt(bucketNumber(s.lastRequest, levels[i]))
		if good {
			b.good++
		} else {
			b.bad++
		}
	}
}

// bucketAt returns the bucket with a number, after clearing the buckets between it and the newest one.
func (r *ring) bucketAt(number int64) *bucket {
	size := int64(len(r.buckets))
	for n := max(r.newest+1, number-size+1); n <= number; n++ {
		r.buckets[n%size] = bucket{}
	}
	r.newest = max(r.newest, number)
	return &r.buckets[number%size]
}

// sum adds up the n buckets that end with the bucket with a number. Buckets outside the ring count as empty.
func (r *ring) sum(number int64, n int) Count {
	var total Count
	size := int64(len(r.buckets))
	for i := number; i > number-int64(n); i-- {
		if i <= r.newest && i > r.newest-size {
			total = total.Add(r.buckets[i%size].count())
		}
	}
	return total
}

// counts returns the sums over each window that ends now.
func (s *series) counts(now time.Time) Counts {
	var c Counts
	if now.Before(s.lastRequest) {
		now = s.lastRequest
	}
	for i, l := range levels {
		number := bucketNumber(now, l)
		c[2*i] = s.rings[i].sum(number, l.longBuckets)
		c[2*i+1] = s.rings[i].sum(number, l.shortBuckets)
	}
	return c
}

// recent returns the 5 min buckets of the 6 h window, oldest first.
func (s *series) recent(now time.Time) []Count {
	const sixHours = 1 // index of the level with the 6 h window
	number := bucketNumber(now, levels[sixHours])
	history := make([]Count, levels[sixHours].longBuckets)
	for i := range history {
		history[i] = s.rings[sixHours].sum(number-int64(len(history)-1-i), 1)
	}
	return history
}
