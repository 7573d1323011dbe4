package term

import (
	"errors"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

// appender appends to one stream under the leader's term.
type appender struct {
	session  *Session
	stream   oleanderline.Stream
	sequence int64
	down     bool
}

func newAppender(s *Session, stream oleanderline.Stream) appender {
	return appender{session: s, stream: stream, sequence: 1}
}

// store appends records until they are stored or the term has ended. The same append is repeated under the same sequence,
// so that one whose answer was lost is not stored twice. It calls stored when they are.
func (a *appender) store(records []oleanderline.KeyedRecord, stored func(sent int64)) bool {
	s := a.session
	for s.ctx.Err() == nil {
		sent := s.common.Clock.Now()
		condition := oleanderline.AppendCondition{Writer: WriterID, Term: s.settings.Leader.Term, Sequence: a.sequence}
		_, err := s.ports.Log.Append(s.ctx, a.stream, records, condition)
		s.metrics.flushTime.Update(s.common.Clock.Now().Sub(sent).Seconds())
		var sequence *oleanderline.SequenceError
		switch {
		case err == nil:
			a.succeeded()
			stored(sent.UnixNano())
			return true
		case errors.Is(err, oleanderline.ErrFenced):
			s.end("the log has seen a newer term")
			return false
		case errors.As(err, &sequence) && sequence.Expected != a.sequence:
			s.common.Event(common.EventLogOutOfSequence).WithField("sent", a.sequence).WithField("expected", sequence.Expected).
				Warn("append out of sequence")
			a.sequence = sequence.Expected
			continue
		}
		a.failed(err)
		s.sleep(flushRetry)
	}
	return false
}

func (a *appender) succeeded() {
	a.sequence++
	a.session.metrics.flushes.Inc()
	if a.down {
		a.down = false
		a.session.common.Event(common.EventLogRegained).WithField("stream", a.stream).Info("the log answers again")
	}
}

func (a *appender) failed(err error) {
	a.session.metrics.flushLost.Inc()
	if !a.down && a.session.ctx.Err() == nil {
		a.down = true
		a.session.common.Event(common.EventLogLost).WithField("stream", a.stream).WithError(err).Warn("the log does not store")
	}
}
