package node

import (
	"context"
	"errors"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/record"
)

const (
	intakeLength = 512 // submissions and cancellations
	intakeBatch  = 64  // records of one append
)

// intake stores submissions and cancellations: all that wait go into one append.
type intake struct {
	common  *common.Common
	log     oleanderline.KeyedLog
	waiting chan pending
	// closedUntil is when the next append may be tried after the log has refused one.
	closedUntil time.Time
	failing     bool
}

type pending struct {
	ctx    context.Context
	record oleanderline.KeyedRecord
	done   chan error
}

func newIntake(c *common.Common, log oleanderline.KeyedLog) *intake {
	return &intake{common: c, log: log, waiting: make(chan pending, intakeLength)}
}

// store returns nil once the record is stored. ErrUnavailable promises that it is not, and never will be.
func (i *intake) store(ctx context.Context, rec oleanderline.KeyedRecord) error {
	p := pending{ctx: ctx, record: rec, done: make(chan error, 1)}
	select {
	case i.waiting <- p:
	default:
		return oleanderline.ErrUnavailable
	}
	return <-p.done
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

// append stores a batch. While the log refuses, what comes is refused at once, but for one attempt now and then.
func (i *intake) append(ctx context.Context, batch []pending) {
	if i.common.Clock.Now().Before(i.closedUntil) {
		finish(batch, oleanderline.ErrUnavailable)
		return
	}
	uncertain := false
	for {
		batch = dropOverdue(batch, uncertain)
		if len(batch) == 0 {
			return
		}
		_, err := i.log.Append(ctx, record.Stream, recordsOf(batch), oleanderline.AppendCondition{})
		switch {
		case err == nil:
			i.failing = false
			finish(batch, nil)
			return
		case errors.Is(err, oleanderline.ErrUncertain):
			uncertain = true
		case !uncertain && i.failing:
			i.closedUntil = i.common.Clock.Now().Add(circuitPause)
			finish(batch, oleanderline.ErrUnavailable)
			return
		}
		i.failing = true
		timer := i.common.Clock.NewTimer(submitRetry)
		select {
		case <-timer.C():
		case <-ctx.Done():
			finish(batch, verdict(uncertain))
			return
		}
	}
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
