package term

import (
	"context"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/plan"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// collect gathers what has to be stored: progress, and the workers that have come or gone.
func (s *Session) collect(reply chan<- flush) {
	records, mark, err := s.planner.Flush()
	if err != nil {
		s.common.Event(common.EventRecordMalformed).WithError(err).Error("progress cannot be encoded")
	}
	workers, ids, err := s.planner.Records()
	if err != nil {
		s.common.Event(common.EventRecordMalformed).WithError(err).Error("worker cannot be encoded")
	}
	s.connect()
	windows := s.windows.Changes()
	records = append(append(append(append(records, workers...), s.pairs()...), s.forget()...), s.windowRecords(windows)...)
	reply <- flush{records: records, done: flushed{mark: mark, workers: ids, windows: windows}}
}

// ask puts a question to the adviser.
func (s *Session) ask(question plan.Question) {
	asked := s.common.Clock.Now()
	if s.ports.Adviser == nil {
		s.sleep(adviceSlack)
		s.post(advised{question: question, err: oleanderline.ErrUnavailable, asked: asked})
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, question.Limit+adviceSlack)
	defer cancel()
	advice, err := s.ports.Adviser.Advise(ctx, question.Step, question.Workers)
	if err != nil && s.ctx.Err() == nil {
		s.common.Event(common.EventAdviceFailed).WithField("step", question.Step.String()).WithError(err).Warn("no advice")
		s.sleep(adviceSlack)
	}
	s.post(advised{question, advice, err, asked})
}

// forget returns the records that drop jobs which finished long ago, now and then.
func (s *Session) forget() []oleanderline.KeyedRecord {
	now := s.common.Clock.Now()
	if now.Sub(s.forgot) < forgetInterval {
		return nil
	}
	s.forgot = now
	var records []oleanderline.KeyedRecord
	ids := s.replica.Expired(now, s.settings.KeepJob)
	for _, id := range ids[:min(len(ids), forgetMost)] {
		s.planner.Forget(id)
		records = append(records, record.DropJob(id)...)
	}
	return records
}

// pairs returns the record of what was learned about pairs of images, now and then.
func (s *Session) pairs() []oleanderline.KeyedRecord {
	now := s.common.Clock.Now()
	if now.Sub(s.learned) < pairsInterval {
		return nil
	}
	evidence, changed := s.planner.Pairs().Changes()
	if !changed {
		return nil
	}
	s.learned = now
	rec, err := record.ForPairs(evidence)
	if err != nil {
		s.common.Event(common.EventRecordMalformed).WithError(err).Error("pairs cannot be encoded")
		return nil
	}
	return []oleanderline.KeyedRecord{rec}
}
