package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/groupcommit"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// timedLog limits how long appends wait for their answers, and reports those of the records to a policy.
type timedLog struct {
	oleanderline.KeyedLog

	clock  oleanderline.Clock
	policy *groupcommit.Policy
	onLate func(answer time.Duration) // called when an append has had no answer for groupcommit.SlowAnswer
	busy   atomic.Bool                // whether the last read of the records found some without waiting, so that the next one is likely to
}

// quickRead is the time up to which a read has not waited for records.
const quickRead = 40 * time.Millisecond

// Append implements oleanderline.KeyedLog.
func (l *timedLog) Append(ctx context.Context, stream oleanderline.Stream, records []oleanderline.KeyedRecord, condition oleanderline.AppendCondition) (oleanderline.Offset, error) {
	now := l.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, l.policy.Timeout(now))
	defer cancel()
	if stream != record.Stream {
		return l.KeyedLog.Append(ctx, stream, records, condition)
	}
	end := l.policy.Begin(now)
	answered := make(chan struct{})
	defer close(answered)
	go l.watch(answered)
	offset, err := l.KeyedLog.Append(ctx, stream, records, condition)
	end(resultOf(err), l.clock.Now())
	return offset, err
}

// watch calls onLate if an append is late.
func (l *timedLog) watch(answered <-chan struct{}) {
	timer := l.clock.NewTimer(groupcommit.SlowAnswer)
	defer timer.Stop()
	select {
	case <-timer.C():
		l.onLate(groupcommit.SlowAnswer)
	case <-answered:
	}
}

// resultOf returns the result of an append by its error.
func resultOf(err error) groupcommit.Result {
	switch {
	case err == nil:
		return groupcommit.Answered
	case errors.Is(err, oleanderline.ErrUnavailable):
		return groupcommit.Refused
	}
	return groupcommit.Lost
}

// Read implements oleanderline.KeyedLog.
func (l *timedLog) Read(ctx context.Context, stream oleanderline.Stream, from oleanderline.Offset, wait time.Duration) (oleanderline.KeyedBatch, error) {
	begun := l.clock.Now()
	end := func(time.Time) {}
	if stream == record.Stream {
		end = l.policy.BeginRead(l.busy.Load(), begun)
	}
	batch, err := l.KeyedLog.Read(ctx, stream, from, wait)
	now := l.clock.Now()
	if end(now); err == nil && len(batch.Records) == 0 {
		l.policy.ObserveRead(now.Sub(begun)-wait, now)
	}
	if stream == record.Stream {
		l.busy.Store(err == nil && len(batch.Records) > 0 && now.Sub(begun) < quickRead)
	}
	return batch, err
}

// timeLeft returns how long a caller waits, or noDeadline if it has no deadline.
func timeLeft(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return noDeadline
}
