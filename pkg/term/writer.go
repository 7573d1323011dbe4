package term

import (
	"context"
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
	appender appender
	beat     time.Time // when the leader's own record was stored last
}

func newWriter(s *Session) *writer {
	return &writer{session: s, wanted: make(chan struct{}, 1), resigns: make(chan chan struct{}), appender: newAppender(s, record.Stream)}
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
	if len(f.records) > 0 && !w.appender.store(f.records, s.renewed.Store) {
		return
	}
	if beat {
		w.beat = now
	}
	if len(f.done.mark) > 0 || len(f.done.workers) > 0 || len(f.done.windows) > 0 {
		s.post(f.done)
	}
}

func (s *Session) sleep(d time.Duration) { common.Sleep(s.ctx, s.common.Clock, d) }
