package node

import (
	"context"
	"sync/atomic"

	"github.com/oleanderline/oleanderline"
)

// pendingRecord is a record whose caller waits for the result on done.
type pendingRecord struct {
	ctx    context.Context
	record oleanderline.KeyedRecord
	done   chan error
	taken  atomic.Bool // by an append, or withdrawn by the caller
}

func newPendingRecord(ctx context.Context, rec oleanderline.KeyedRecord) *pendingRecord {
	return &pendingRecord{ctx: ctx, record: rec, done: make(chan error, 1)}
}

// take reports whether the record is to be appended: its caller has not withdrawn it.
func (p *pendingRecord) take() bool { return p.taken.CompareAndSwap(false, true) }

// withdraw reports whether the record will not be appended.
func (p *pendingRecord) withdraw() bool { return p.taken.CompareAndSwap(false, true) }

func recordsOf(batch []*pendingRecord) []oleanderline.KeyedRecord {
	records := make([]oleanderline.KeyedRecord, len(batch))
	for j, p := range batch {
		records[j] = p.record
	}
	return records
}

// dropExpired removes the records whose callers have given up, and fails them.
func dropExpired(batch []*pendingRecord, uncertain bool) []*pendingRecord {
	var remaining []*pendingRecord
	for _, p := range batch {
		if p.ctx.Err() != nil {
			p.done <- storeError(uncertain)
			continue
		}
		remaining = append(remaining, p)
	}
	return remaining
}

func reply(batch []*pendingRecord, err error) {
	for _, p := range batch {
		p.done <- err
	}
}

// storeError returns the error of records that were not stored. uncertain says that the answer to an append was lost.
func storeError(uncertain bool) error {
	if uncertain {
		return oleanderline.ErrUncertain
	}
	return oleanderline.ErrUnavailable
}
