package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/groupcommit"
	"github.com/oleanderline/oleanderline/pkg/record"
	"github.com/oleanderline/oleanderline/pkg/relay"
)

const (
	queueLength    = 512 // submissions and cancellations that wait for an append
	maxBatch       = 256 // records per append
	maxOpenAppends = 4   // appends without an answer
	// maxPending is the size of all records whose callers wait. It is a small part of a small VM's memory: an appender holds the records of
	// many nodes.
	maxPending = oleanderline.ByteCount(16 << 20)
	// appendAttempts is how often a process appends a batch that it stores alone. One that shares appenders tries once: a repeat would wait
	// in the queue of a slow log behind the first try, and an appender can repeat the records of many processes in one append.
	appendAttempts = 2
)

// batcher stores submissions and cancellations, up to maxBatch of them in one append. The next append waits for the answer to the last
// one unless that is overdue. The batcher is also a circuit breaker: while appends fail, one record at a time probes the log and all
// others are refused at once.
type batcher struct {
	common  *common.Common
	log     oleanderline.KeyedLog
	limits  oleanderline.LogLimits
	policy  *groupcommit.Policy
	tries   int // of an append
	waiting chan *pendingRecord
	pending atomic.Int64 // size of the records whose callers wait
	// failing is set while appends fail; open counts the batches that are being appended.
	failing atomic.Bool
	open    atomic.Int32
	// failingSince is when appends began to fail, and nextProbe when the next record may be tried, in Unix nanoseconds.
	failingSince, nextProbe atomic.Int64
}

func newBatcher(c *common.Common, log oleanderline.KeyedLog, limits oleanderline.LogLimits, policy *groupcommit.Policy, tries int) *batcher {
	return &batcher{common: c, log: log, limits: limits, policy: policy, tries: tries, waiting: make(chan *pendingRecord, queueLength)}
}

// store returns nil once the record is stored. ErrUnavailable guarantees that the record is not and will not be stored; relay.ErrNotInTime,
// which matches it, means that the log takes longer than the caller waits.
func (b *batcher) store(ctx context.Context, rec oleanderline.KeyedRecord) error {
	if b.failing.Load() && (b.open.Load() > 0 || b.common.Clock.Now().Before(b.probeTime())) {
		return b.refusal()
	}
	if b.wait() > timeLeft(ctx) {
		return relay.ErrNotInTime
	}
	size := int64(rec.Size())
	defer b.pending.Add(-size)
	if b.pending.Add(size) > int64(maxPending) {
		return relay.ErrNotInTime
	}
	p := newPendingRecord(ctx, rec)
	select {
	case b.waiting <- p:
	default:
		return relay.ErrNotInTime
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
	}
	if p.withdraw() {
		return relay.ErrNotInTime
	}
	return oleanderline.ErrUncertain // the record is in an append
}

// wait returns how long a record that comes now is expected to take.
func (b *batcher) wait() time.Duration {
	return b.policy.Wait(len(b.waiting), maxBatch, b.common.Clock.Now())
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
	ended := make(chan struct{}, maxOpenAppends)
	open := 0
	for {
		open = b.awaitTurn(ctx, ended, open)
		select {
		case <-ctx.Done():
			for ; open > 0; open-- {
				<-ended
			}
			return
		case <-ended:
			open--
		case first := <-b.waiting:
			batch := b.fillBatch(first)
			if len(batch) == 0 {
				continue
			}
			open++
			b.open.Add(1)
			go func() {
				b.appendAll(ctx, batch)
				b.open.Add(-1)
				ended <- struct{}{}
			}()
		}
	}
}

// awaitTurn waits until another batch may be appended: all are done, or fewer than maxOpenAppends are open and the newest is overdue. It
// returns the number that is still open.
func (b *batcher) awaitTurn(ctx context.Context, ended <-chan struct{}, open int) int {
	for open > 0 {
		timer := b.common.Clock.NewTimer(b.policy.Overdue(b.common.Clock.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return open
		case <-ended:
			open--
		case <-timer.C():
			if open < maxOpenAppends {
				return open
			}
		}
		timer.Stop()
	}
	return open
}

// fillBatch adds the records that wait, without blocking for more.
func (b *batcher) fillBatch(first *pendingRecord) []*pendingRecord {
	var batch []*pendingRecord
	for p := first; ; {
		if p.take() {
			batch = append(batch, p)
		}
		if len(batch) == maxBatch {
			return batch
		}
		select {
		case p = <-b.waiting:
		default:
			return batch
		}
	}
}

// appendAll appends a batch, in as many appends as its size needs.
func (b *batcher) appendAll(ctx context.Context, batch []*pendingRecord) {
	for _, records := range b.limits.Split(recordsOf(batch)) {
		b.append(ctx, batch[:len(records)])
		batch = batch[len(records):]
	}
}

// append stores a batch. If there are several tries, it retries an append that was refused or not answered after appendRetryDelay, in the
// latter case over a new connection. While the log is already known to fail there is no retry, so that the callers get the error at once.
func (b *batcher) append(ctx context.Context, batch []*pendingRecord) {
	uncertain := false
	for attempt := range b.tries {
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
		if b.failing.Load() || attempt+1 == b.tries {
			break
		}
		common.Sleep(ctx, b.common.Clock, appendRetryDelay)
	}
	if !b.failing.Swap(true) {
		b.failingSince.Store(b.common.Clock.Now().UnixNano())
	}
	b.nextProbe.Store(b.common.Clock.Now().Add(probeInterval).UnixNano())
	if uncertain {
		reply(batch, oleanderline.ErrUncertain)
		return
	}
	reply(batch, b.refusal())
}

// refusal returns the error of a record that the log has refused: relay.ErrNotInTime if it would refuse other processes as well.
func (b *batcher) refusal() error {
	if b.policy.Congested(b.common.Clock.Now()) {
		return relay.ErrNotInTime
	}
	return oleanderline.ErrUnavailable
}
