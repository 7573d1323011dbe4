package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/record"
)

const (
	queueLength    = 512 // submissions and cancellations that wait for an append
	maxBatch       = 64  // records per append
	appendAttempts = 2
)

// batcher stores submissions and cancellations, up to maxBatch of them in one append. It is also a circuit breaker: while
// appends fail, one record at a time probes the log and all others are refused at once.
type batcher struct {
	common  *common.Common
	log     oleanderline.KeyedLog
	limits  oleanderline.LogLimits
	waiting chan pendingRecord
	// failing is set while appends fail; probing is set while an append runs.
	failing, probing atomic.Bool
	// failingSince is when appends began to fail, and nextProbe when the next record may be tried, in Unix nanoseconds.
	failingSince, nextProbe atomic.Int64
}

// pendingRecord is a record whose caller waits for the result on done.
type pendingRecord struct {
	ctx    context.Context
	record oleanderline.KeyedRecord
	done   chan error
}

func newBatcher(c *common.Common, log oleanderline.KeyedLog, limits oleanderline.LogLimits) *batcher {
	return &batcher{common: c, log: log, limits: limits, waiting: make(chan pendingRecord, queueLength)}
}

// store returns nil once the record is stored. ErrUnavailable guarantees that the record is not and will not be stored.
func (b *batcher) store(ctx context.Context, rec oleanderline.KeyedRecord) error {
	if b.failing.Load() && (b.probing.Load() || b.common.Clock.Now().Before(b.probeTime())) {
		return oleanderline.ErrUnavailable
	}
	p := pendingRecord{ctx: ctx, record: rec, done: make(chan error, 1)}
	select {
	case b.waiting <- p:
	default:
		return oleanderline.ErrUnavailable
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return oleanderline.ErrUncertain // the record may already be in an append
	}
}

func (b *batcher) probeTime() time.Time { return time.Unix(0, b.nextProbe.Load()) }

// outage returns for how long appends have been failing, or 0 if they succeed.
func (b *batcher) outage() time.Duration {
	if !b.failing.Load() {
		return 0
	}
	return b.common.Clock.Now().Sub(time.Unix(0, b.failingSince.Load()))
}

// run appends the waiting records batch by batch until ctx is done.
func (b *batcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.waiting:
			batch := b.fillBatch(first)
			for _, records := range b.limits.Split(recordsOf(batch)) {
				b.append(ctx, batch[:len(records)])
				batch = batch[len(records):]
			}
		}
	}
}

// fillBatch adds the records that wait, without blocking for more.
func (b *batcher) fillBatch(first pendingRecord) []pendingRecord {
	batch := []pendingRecord{first}
	for len(batch) < maxBatch {
		select {
		case p := <-b.waiting:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

// append stores a batch. It retries an append that was refused or not answered after appendRetryDelay, in the latter case over a
// new connection. While the log is already known to fail there is no retry, so that the callers get the error at once.
func (b *batcher) append(ctx context.Context, batch []pendingRecord) {
	b.probing.Store(true)
	defer b.probing.Store(false)
	uncertain := false
	for attempt := range appendAttempts {
		batch = dropExpired(batch, uncertain)
		if len(batch) == 0 && attempt == 0 {
			return
		}
		if len(batch) == 0 {
			break // all callers have given up while the log failed
		}
		_, err := b.log.Append(ctx, record.Stream, recordsOf(batch), oleanderline.AppendCondition{})
		if err == nil {
			b.failing.Store(false)
			reply(batch, nil)
			return
		}
		uncertain = uncertain || errors.Is(err, oleanderline.ErrUncertain)
		if b.failing.Load() {
			break
		}
		common.Sleep(ctx, b.common.Clock, appendRetryDelay)
	}
	if !b.failing.Swap(true) {
		b.failingSince.Store(b.common.Clock.Now().UnixNano())
	}
	b.nextProbe.Store(b.common.Clock.Now().Add(probeInterval).UnixNano())
	reply(batch, storeError(uncertain))
}

func recordsOf(batch []pendingRecord) []oleanderline.KeyedRecord {
	records := make([]oleanderline.KeyedRecord, len(batch))
	for j, p := range batch {
		records[j] = p.record
	}
	return records
}

// dropExpired removes the records whose callers have given up, and fails them.
func dropExpired(batch []pendingRecord, uncertain bool) []pendingRecord {
	var remaining []pendingRecord
	for _, p := range batch {
		if p.ctx.Err() != nil {
			p.done <- storeError(uncertain)
			continue
		}
		remaining = append(remaining, p)
	}
	return remaining
}

// storeError returns the error of records that were not stored. uncertain says that the answer to an append was lost.
func storeError(uncertain bool) error {
	if uncertain {
		return oleanderline.ErrUncertain
	}
	return oleanderline.ErrUnavailable
}

func reply(batch []pendingRecord, err error) {
	for _, p := range batch {
		p.done <- err
	}
}
