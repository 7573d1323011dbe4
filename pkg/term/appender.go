package term

import (
	"errors"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

// appender appends to one stream, fenced by the leader's term. It is not safe for concurrent use.
type appender struct {
	session  *Session
	stream   oleanderline.Stream
	sequence int64
	down     bool // whether the last append failed
}

func newAppender(s *Session, stream oleanderline.Stream) appender {
	return appender{session: s, stream: stream, sequence: FenceSequence(s.settings.Leader.Term) + 1}
}

// sequenceBits is the distance between the first sequence numbers of successive terms, in bits: a million appends, which take
// seven hours at flushInterval.
const sequenceBits = 20

// FenceSequence returns the sequence number of the append that fences the leaders before a term. The numbers of the term's appends
// follow it. The log answers a repeated number of the last appends with the result of the first, so an append with a number of an
// earlier term would not be stored if the log kept these results in a new term.
func FenceSequence(term oleanderline.Term) int64 { return int64(term) << sequenceBits }

// store retries an append until the records are stored or the term has ended, and reports whether they are stored. All tries
// use the same sequence number, so that an append whose answer was lost is not stored twice. onStored receives the Unix time
// in nanoseconds at which the successful try was sent.
func (a *appender) store(records []oleanderline.KeyedRecord, onStored func(sent int64)) bool {
	s := a.session
	for s.ctx.Err() == nil {
		sent := s.common.Clock.Now()
		condition := oleanderline.AppendCondition{Writer: WriterID, Term: s.settings.Leader.Term, Sequence: a.sequence}
		_, err := s.ports.Log.Append(s.ctx, a.stream, records, condition)
		s.metrics.flushTime.Update(s.common.Clock.Now().Sub(sent).Seconds())
		var mismatch *oleanderline.SequenceError
		switch {
		case err == nil:
			a.succeeded()
			onStored(sent.UnixNano())
			return true
		case errors.Is(err, oleanderline.ErrFenced):
			s.end("the log has seen a newer term")
			return false
		case errors.As(err, &mismatch) && mismatch.Expected != a.sequence:
			s.common.Event(common.EventLogOutOfSequence).WithField("sent", a.sequence).WithField("expected", mismatch.Expected).
				Warn("append out of sequence; retrying with the expected number")
			a.sequence = mismatch.Expected
			continue
		}
		a.failed(err)
		s.sleep(flushRetryDelay)
	}
	return false
}

func (a *appender) succeeded() {
	a.sequence++
	a.session.metrics.flushes.Inc()
	if a.down {
		a.down = false
		a.session.common.Event(common.EventLogAvailable).WithField("stream", a.stream).Info("log service stores appends again")
	}
}

func (a *appender) failed(err error) {
	a.session.metrics.flushFailures.Inc()
	if !a.down && a.session.ctx.Err() == nil {
		a.down = true
		a.session.common.Event(common.EventLogUnavailable).WithField("stream", a.stream).WithError(err).Warn("append to the log service failed; retrying")
	}
}
