package term

import (
	"context"
	"errors"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// WriterID is shared by all leaders, so that a leader's first append fences those before it.
const WriterID oleanderline.WriterID = "leader"

// writer stores records of the leader, one append at a time.
type writer struct {
	session  *Session
	wanted   chan struct{}
	resigns  chan chan struct{}
	sequence int64
	beat     time.Time // when the leader's own record was stored last
	down     bool
}

func newWriter(s *Session) *writer {
	return &writer{session: s, wanted: make(chan struct{}, 1), resigns: make(chan chan struct{}), sequence: 1}
}

// wake asks for a flush.
func (w *writer) wake() {
	select {
	case w.wanted <- struct{}{}:
	default:
	}
}

func (w *writer) run() {
	ticker := time.NewTicker(heartbeatInterval / 4)
	defer ticker.Stop()
	for {
		select {
		case <-w.session.ctx.Done():
			return
		case done := <-w.resigns:
			w.flush(true)
			close(done)
			return
		case <-w.wanted:
		case <-ticker.C:
		}
		w.flush(false)
		w.session.sleep(flushInterval)
	}
}

// resign stores what is left and that the leader has gone.
func (w *writer) resign(ctx context.Context) {
	done := make(chan struct{})
	select {
	case w.resigns <- done:
	case <-ctx.Done():
		return
	case <-w.session.ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (w *writer) flush(resign bool) {
	s := w.session
	reply := make(chan flush, 1)
	s.post(flushWant{reply})
	var f flush
	select {
	case f = <-reply:
	case <-s.ctx.Done():
		return
	}
	now := s.common.Clock.Now()
	beat := resign || now.Sub(w.beat) >= heartbeatInterval
	if beat {
		leader := s.settings.Leader
		leader.Resigned = resign
		rec, err := record.ForLeader(leader)
		if err != nil {
			s.common.Event(common.EventRecordMalformed).WithError(err).Error("leader cannot be encoded")
			return
		}
		f.records = append(f.records, rec)
	}
	if len(f.records) > 0 && !w.store(f.records) {
		return
	}
	if beat {
		w.beat = now
	}
	if len(f.done.mark) > 0 || len(f.done.workers) > 0 {
		s.post(f.done)
	}
}

// store appends records until they are stored or the term has ended. The same append is repeated under the same sequence,
// so that one whose answer was lost is not stored twice.
func (w *writer) store(records []oleanderline.KeyedRecord) bool {
	s := w.session
	for s.ctx.Err() == nil {
		sent := s.common.Clock.Now()
		condition := oleanderline.AppendCondition{Writer: WriterID, Term: s.settings.Leader.Term, Sequence: w.sequence}
		_, err := s.ports.Log.Append(s.ctx, record.Stream, records, condition)
		s.metrics.flushTime.Update(s.common.Clock.Now().Sub(sent).Seconds())
		var sequence *oleanderline.SequenceError
		switch {
		case err == nil:
			w.stored(sent)
			return true
		case errors.Is(err, oleanderline.ErrFenced):
			s.end("the log has seen a newer term")
			return false
		case errors.As(err, &sequence) && sequence.Expected != w.sequence:
			s.common.Event(common.EventLogOutOfSequence).WithField("sent", w.sequence).WithField("expected", sequence.Expected).
				Warn("append out of sequence")
			w.sequence = sequence.Expected
			continue
		}
		w.failed(err)
		s.sleep(flushRetry)
	}
	return false
}

func (w *writer) stored(sent time.Time) {
	w.sequence++
	w.session.metrics.flushes.Inc()
	w.session.renewed.Store(sent.UnixNano())
	if w.down {
		w.down = false
		w.session.common.Event(common.EventLogRegained).Info("the log answers again")
	}
}

func (w *writer) failed(err error) {
	w.session.metrics.flushLost.Inc()
	if !w.down && w.session.ctx.Err() == nil {
		w.down = true
		w.session.common.Event(common.EventLogLost).WithError(err).Warn("the log does not store")
	}
}

func (s *Session) sleep(d time.Duration) { common.Sleep(s.ctx, s.common.Clock, d) }
