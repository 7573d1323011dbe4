package sched

import (
	"github.com/oleanderline/oleanderline/pkg/common"
)

// observe updates the metrics and logs events after changes of the core's counters.
func (s *shardRunner) observe() {
	now := s.core.Counters()
	before := s.lastCounters
	s.lastCounters = now
	s.metrics.starts.Add(now.Starts - before.Starts)
	s.metrics.done.Add(now.Done - before.Done)
	s.metrics.freed.Add(now.Freed - before.Freed)
	s.metrics.expired.Add(now.Expired - before.Expired)
	s.metrics.claims.Add(now.Claims - before.Claims)
	s.metrics.refused.Add(now.Refused - before.Refused)
	s.metrics.preempted.Add(now.Preempted - before.Preempted)
	s.metrics.throttled.Add(now.Throttled - before.Throttled)
	s.metrics.evicted.Add(now.Evicted - before.Evicted)
	s.observePredictions()
	s.observeQuarantine()
	if now.Lost > before.Lost {
		owner, _ := s.core.Owner()
		s.common.Event(common.EventShardLost).WithField("shard", s.id).WithField("owner", owner).Info("another process has claimed the shard; this process no longer owns it")
	}
	if now.Claims > before.Claims {
		s.common.Event(common.EventShardClaimed).WithField("shard", s.id).Info("this process has claimed the shard")
	}
	if now.Gaps > before.Gaps {
		s.common.Event(common.EventShardGap).WithField("shard", s.id).Warn("log entries passed their retention before this process read them; the shard's state is rebuilt from later entries")
	}
	s.observeLog()
}

func (s *shardRunner) observePredictions() {
	mean, compared := s.core.PredictionError()
	sum := mean * float64(compared)
	s.metrics.slowdownErrors.Add(sum - s.slowdownErrors)
	s.metrics.slowdowns.Add(compared - s.slowdowns)
	s.slowdownErrors, s.slowdowns = sum, compared
}

func (s *shardRunner) observeQuarantine() {
	now := s.core.Quarantined()
	before := s.quarantined
	s.quarantined = now
	event := common.EventWorkerQuarantined
	if now < before {
		event = common.EventWorkerReadmitted
	}
	if now != before {
		s.common.Event(event).WithField("shard", s.id).WithField("quarantined", now).Warn("number of workers in quarantine has changed")
	}
}

func (s *shardRunner) observeLog() {
	stalled := s.core.LogStalled()
	if stalled == s.logStalled {
		return
	}
	s.logStalled = stalled
	if stalled {
		s.common.Event(common.EventAppendsStalled).WithField("shard", s.id).Warn("log service does not answer appends; placement is paused")
		return
	}
	s.common.Event(common.EventAppendsResumed).WithField("shard", s.id).Info("log service answers appends again; placement resumes")
}
