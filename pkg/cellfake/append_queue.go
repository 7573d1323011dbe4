package cellfake

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderline/oleanderline"
)

// maxQueued is how much work may wait in an AppendQueue before it refuses more.
const maxQueued = 2 * time.Second

// AppendQueue is a KeyedLog that carries out the appends to one stream one at a time, as the partition of a store does. An append that
// was taken is carried out even if its caller gives up. Reads take the same time, but do not wait for each other.
type AppendQueue struct {
	*Store

	stream  oleanderline.Stream
	mu      sync.Mutex
	answer  time.Duration
	free    time.Time // when the appends that were taken are done
	pending sync.WaitGroup
	appends atomic.Int64
	refused atomic.Int64
}

// NewAppendQueue returns a queue in front of the stream of a store. Each append and read takes the time that SetAnswerTime sets; at first
// none.
func NewAppendQueue(store *Store, stream oleanderline.Stream) *AppendQueue {
	return &AppendQueue{Store: store, stream: stream}
}

// SetAnswerTime sets how long each append and each read takes.
func (q *AppendQueue) SetAnswerTime(answer time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answer = answer
}

// Appends returns the numbers of appends that were carried out and refused.
func (q *AppendQueue) Appends() (done, refused int64) { return q.appends.Load(), q.refused.Load() }

// Wait blocks until all appends that were taken are done.
func (q *AppendQueue) Wait() { q.pending.Wait() }

// Append implements oleanderline.KeyedLog. It returns ErrUncertain if ctx is done before the append, which is still carried out then.
func (q *AppendQueue) Append(ctx context.Context, name oleanderline.Stream, records []oleanderline.KeyedRecord, condition oleanderline.AppendCondition) (oleanderline.Offset, error) {
	if name != q.stream {
		return q.Store.Append(ctx, name, records, condition)
	}
	turn, ok := q.take()
	if !ok {
		q.refused.Add(1)
		return 0, oleanderline.ErrUnavailable
	}
	type result struct {
		offset oleanderline.Offset
		err    error
	}
	done := make(chan result, 1)
	q.pending.Go(func() {
		time.Sleep(time.Until(turn))
		offset, err := q.Store.Append(context.Background(), name, records, condition)
		q.appends.Add(1)
		done <- result{offset, err}
	})
	select {
	case r := <-done:
		return r.offset, r.err
	case <-ctx.Done():
		return 0, oleanderline.ErrUncertain
	}
}

// Read implements oleanderline.KeyedLog.
func (q *AppendQueue) Read(ctx context.Context, name oleanderline.Stream, from oleanderline.Offset, wait time.Duration) (oleanderline.KeyedBatch, error) {
	q.delay()
	return q.Store.Read(ctx, name, from, wait)
}

// Newest implements oleanderline.KeyedLog.
func (q *AppendQueue) Newest(ctx context.Context, name oleanderline.Stream) (oleanderline.KeyedBatch, error) {
	q.delay()
	return q.Store.Newest(ctx, name)
}

// delay waits for the time that a read takes, which is that of an append.
func (q *AppendQueue) delay() {
	q.mu.Lock()
	answer := q.answer
	q.mu.Unlock()
	time.Sleep(answer)
}

// take returns when the next append is done, or false if too much work waits.
func (q *AppendQueue) take() (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if q.free.Sub(now) > maxQueued {
		return time.Time{}, false
	}
	if q.free.Before(now) {
		q.free = now
	}
	q.free = q.free.Add(q.answer)
	return q.free, true
}
