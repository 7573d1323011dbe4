package term

import (
	"context"
	"slices"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/plan"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// collectRecords sends the records for the next flush: job progress, workers that were added or removed, learned
// interference, dropped jobs and maintenance windows. It also updates the links, so that they match the recorded workers.
func (s *Session) collectRecords(reply chan<- flush) {
	records, ends, err := s.planner.Flush()
	if err != nil {
		s.common.Event(common.EventRecordMalformed).WithError(err).Error("failed to encode job progress; not stored in this flush")
	}
	workerRecords, workerIDs, err := s.planner.Records()
	if err != nil {
		s.common.Event(common.EventRecordMalformed).WithError(err).Error("failed to encode a worker; no workers are stored in this flush")
	}
	s.connectWorkers()
	windows := s.maintenance.Changes()
	records = append(append(append(append(records, workerRecords...), s.pairRecords()...), s.dropExpiredJobs()...), s.windowRecords(windows)...)
	records = slices.DeleteFunc(records, s.isTooLarge)
	reply <- flush{records: records, completion: flushStored{ends: ends, workers: workerIDs, windows: windows}}
}

// isTooLarge reports whether a record is larger than the log accepts. It would be refused each time, with all others of its append, so it
// is left out.
func (s *Session) isTooLarge(rec oleanderline.KeyedRecord) bool {
	if rec.Fits(s.settings.LogLimits.Record) {
		return false
	}
	s.common.Event(common.EventRecordTooLarge).WithField("key", rec.Key).WithField("size", rec.Size()).Error("record is larger than the log accepts; left out")
	return true
}

// askAdviser sends a request to the adviser and posts the answer. It delays the post of a failure by adviceSlack.
func (s *Session) askAdviser(request plan.AdviceRequest) {
	askedAt := s.common.Clock.Now()
	if s.ports.Adviser == nil {
		s.sleep(adviceSlack)
		s.post(adviceReceived{request: request, err: oleanderline.ErrUnavailable, askedAt: askedAt})
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, request.Limit+adviceSlack)
	defer cancel()
	advice, err := s.ports.Adviser.Advise(ctx, request.Step, request.Workers)
	if err != nil && s.ctx.Err() == nil {
		s.common.Event(common.EventAdviceFailed).WithField("step", request.Step.String()).WithError(err).Warn("no answer from the adviser; it is asked again")
		s.sleep(adviceSlack)
	}
	s.post(adviceReceived{request, advice, err, askedAt})
}

// dropExpiredJobs makes the planner forget jobs whose retention period after their end is over, and returns the records that
// delete them, at most maxDroppedJobs per dropInterval.
func (s *Session) dropExpiredJobs() []oleanderline.KeyedRecord {
	now := s.common.Clock.Now()
	if now.Sub(s.jobsDroppedAt) < dropInterval {
		return nil
	}
	s.jobsDroppedAt = now
	var records []oleanderline.KeyedRecord
	ids := s.replica.Expired(now, s.settings.JobRetention)
	for _, id := range ids[:min(len(ids), maxDroppedJobs)] {
		s.planner.Forget(id)
		records = append(records, record.DropJob(id)...)
	}
	return records
}

// pairRecords returns the record of the interference learned between pairs of images if it has changed, at most once per
// pairsInterval.
func (s *Session) pairRecords() []oleanderline.KeyedRecord {
	now := s.common.Clock.Now()
	if now.Sub(s.pairsStoredAt) < pairsInterval {
		return nil
	}
	evidence, changed := s.planner.Pairs().Changes()
	if !changed {
		return nil
	}
	s.pairsStoredAt = now
	rec, err := record.ForPairs(evidence)
	if err != nil {
		s.common.Event(common.EventRecordMalformed).WithError(err).Error("failed to encode interference between pairs of images; record skipped")
		return nil
	}
	return []oleanderline.KeyedRecord{rec}
}
