package term

import (
	"context"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// WriterID is shared by all leaders, so that the first append of a leader fences earlier leaders.
const WriterID oleanderline.WriterID = "leader"

// writer stores the leader's records and heartbeats in the log, one append at a time.
type writer struct {
	session       *Session
	wakeup        chan struct{}
	resignations  chan chan struct{}
	appender      appender
	lastHeartbeat time.Time // when the leader's own record was last stored
	storedIntake  record.Intake
}

func newWriter(s *Session) *writer {
	return &writer{session: s, wakeup: make(chan struct{}, 1), resignations: make(chan chan struct{}), appender: newAppender(s, record.Stream)}
}

// wake requests a flush without waiting for the ticker.
func (w *writer) wake() {
	select {
	case w.wakeup <- struct{}{}:
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
		case done := <-w.resignations:
			w.session.resigned.Store(w.flush(true))
			close(done)
			return
		case <-w.wakeup:
		case <-ticker.C:
		}
		w.flush(false)
		w.session.sleep(w.flushPause())
	}
}

// flushPause returns the pause between two flushes. While the log answers slowly it is as long as an append takes, so that an append of
// submissions finds the log free half of the time.
func (w *writer) flushPause() time.Duration {
	if w.session.ports.AppendAnswer == nil {
		return flushInterval
	}
	return min(max(w.session.ports.AppendAnswer(), flushInterval), maxFlushPause)
}

// resign stores the remaining records and the leader's resignation.
func (w *writer) resign(ctx context.Context) {
	done := make(chan struct{})
	select {
	case w.resignations <- done:
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

// flush stores the records that have changed, and the leader's own record if it is due or the leader resigns. It reports whether
// they are stored.
func (w *writer) flush(resign bool) bool {
	s := w.session
	now := s.common.Clock.Now()
	intake := *s.intakeVerdict.Load()
	heartbeat := resign || now.Sub(w.lastHeartbeat) >= heartbeatInterval || !sameRefusal(intake, w.storedIntake)
	var own []oleanderline.KeyedRecord
	if heartbeat { // encoded first, because the planner counts what it hands out as stored
		rec, err := w.ownRecord(resign, intake)
		if err != nil {
			s.common.Event(common.EventRecordMalformed).WithError(err).Error("failed to encode the leader's record; flush aborted")
			return false
		}
		own = append(own, rec)
	}
	reply := make(chan flush, 1)
	s.post(flushRequested{reply})
	var f flush
	select {
	case f = <-reply:
	case <-s.ctx.Done():
		return false
	}
	f.records = append(f.records, own...)
	for _, records := range s.settings.LogLimits.Split(f.records) {
		if !w.appender.store(records, s.lastAppendSent.Store) {
			return false
		}
	}
	if heartbeat {
		w.lastHeartbeat, w.storedIntake = now, intake
	}
	if len(f.completion.ends) > 0 || len(f.completion.workers) > 0 || len(f.completion.windows) > 0 {
		s.post(f.completion)
	}
	return true
}

// ownRecord returns the leader's own record, which is its heartbeat.
func (w *writer) ownRecord(resign bool, intake record.Intake) (oleanderline.KeyedRecord, error) {
	leader := w.session.settings.Leader
	leader.Resigned = resign
	if intake.Rate > 0 || intake.Refuse {
		leader.Intake = &intake
	}
	if answer := w.session.ports.AppendAnswer; answer != nil {
		leader.AnswerMS = answer().Milliseconds()
	}
	return record.ForLeader(leader)
}

func (s *Session) sleep(d time.Duration) { common.Sleep(s.ctx, s.common.Clock, d) }
