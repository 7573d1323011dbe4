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
	intakeLength = 512 // submissions and cancellations
	intakeBatch  = 64  // records of one append
	appendTries  = 2
)

// intake stores submissions and cancellations: all that wait go into one append.
type intake struct {
	common  *common.Common
	log     oleanderline.KeyedLog
	waiting chan pending
	// failing is set while the log does not store, since is when that began, closed when the next record may try, and
	// trying says that one does.
	failing, trying atomic.Bool
	since, closed   atomic.Int64
}

type pending struct {
	ctx    context.Context
	record oleanderline.KeyedRecord
	done   chan error
}

func newIntake(c *common.Common, log oleanderline.KeyedLog) *intake {
	return &intake{common: c, log: log, waiting: make(chan pending, intakeLength)}
}

// store returns nil once the record is stored. ErrUnavailable promises that it is not, and never will be. While the log does
// not store, one record tries it and all others are refused at once.
func (i *intake) store(ctx context.Context, rec oleanderline.KeyedRecord) error {
	if i.failing.Load() && (i.trying.Load() || i.common.Clock.Now().Before(i.closedUntil())) {
		return oleanderline.ErrUnavailable
	}
	p := pending{ctx: ctx, record: rec, done: make(chan error, 1)}
	select {
	case i.waiting <- p:
	default:
		return oleanderline.ErrUnavailable
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return oleanderline.ErrUncertain // the record may be on its way
	}
}

func (i *intake) closedUntil() time.Time { return time.Unix(0, i.closed.Load()) }

// Outage returns for how long the log has not stored anything, or 0 if it does.
func (i *intake) outage() time.Duration {
	if !i.failing.Load() {
		return 0
	}
	return i.common.Clock.Now().Sub(time.Unix(0, i.since.Load()))
}

func (i *intake) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-i.waiting:
			i.append(ctx, i.gather(first))
		}
	}
}

func (i *intake) gather(first pending) []pending {
	batch := []pending{first}
	for len(batch) < intakeBatch {
		select {
		case p := <-i.waiting:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

// append stores a batch. A refusal is tried again shortly, a lost answer once over a fresh connection; then the callers
// learn at once what is known.
func (i *intake) append(ctx context.Context, batch []pending) {
	i.trying.Store(true)
	defer i.trying.Store(false)
	uncertain := false
	for range appendTries {
		batch = dropOverdue(batch, uncertain)
		if len(batch) == 0 {
			return
		}
		_, err := i.log.Append(ctx, record.Stream, recordsOf(batch), oleanderline.AppendCondition{})
		if err == nil {
			i.failing.Store(false)
			finish(batch, nil)
			return
		}
		uncertain = uncertain || errors.Is(err, oleanderline.ErrUncertain)
		if i.failing.Load() {
			break
		}
		common.Sleep(ctx, i.common.Clock, submitRetry)
	}
	if !i.failing.Swap(true) {
		i.since.Store(i.common.Clock.Now().UnixNano())
	}
	i.closed.Store(i.common.Clock.Now().Add(circuitPause).UnixNano())
	finish(batch, verdict(uncertain))
}

func recordsOf(batch []pending) []oleanderline.KeyedRecord {
	records := make([]oleanderline.KeyedRecord, len(batch))
	for j, p := range batch {
		records[j] = p.record
	}
	return records
}

// dropOverdue answers those whose callers do not wait any more.
func dropOverdue(batch []pending, uncertain bool) []pending {
	var rest []pending
	for _, p := range batch {
		if p.ctx.Err() != nil {
			p.done <- verdict(uncertain)
			continue
		}
		rest = append(rest, p)
	}
	return rest
}

func verdict(uncertain bool) error {
	if uncertain {
		return oleanderline.ErrUncertain
	}
	return oleanderline.ErrUnavailable
}

func finish(batch []pending, err error) {
	for _, p := range batch {
		p.done <- err
	}
}
