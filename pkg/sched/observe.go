package sched

import (
	"github.com/oleanderline/oleanderline/pkg/common"
)

// observe turns changes of the core's counters into metrics and events.
func (s *shardDuty) observe() {
	now := s.core.Counters()
	before := s.seen
	s.seen = now
	s.metrics.starts.Add(now.Starts - before.Starts)
	s.metrics.done.Add(now.Done - before.Done)
	s.metrics.freed.Add(now.Freed - before.Freed)
	s.metrics.lapsed.Add(now.Lapsed - before.Lapsed)
	s.metrics.claims.Add(now.Claims - before.Claims)
	s.metrics.refused.Add(now.Refused - before.Refused)
	s.metrics.preempted.Add(now.Preempted - before.Preempted)
	s.metrics.throttled.Add(now.Throttled - before.Throttled)
	s.metrics.evicted.Add(now.Evicted - before.Evicted)
	s.observePredictions()
	s.observeQuarantine()
	if now.Lost > before.Lost {
		owner, _ := s.core.Owner()
		s.common.Event(common.EventShardLost).WithField("shard", s.id).WithField("owner", owner).Info("shard has a new owner")
	}
	if now.Claims > before.Claims {
		s.common.Event(common.EventShardClaimed).WithField("shard", s.id).Info("shard claimed")
	}
	if now.Gaps > before.Gaps {
		s.common.Event(common.EventShardGap).WithField("shard", s.id).Warn("entries were lost to retention")
	}
	s.observeLog()
}

func (s *shardDuty) observePredictions() {
	mean, compared := s.core.Interference()
	sum := mean * float64(compared)
	s.metrics.slowdownErrors.Add(sum - s.slowdownErrors)
	s.metrics.slowdowns.Add(compared - s.slowdowns)
	s.slowdownErrors, s.slowdowns = sum, compared
}

func (s *shardDuty) observeQuarantine() {
	now := s.core.Quarantined()
	before := s.quarantined
	s.quarantined = now
	event := common.EventWorkerQuarantined
	if now < before {
		event = common.EventWorkerReadmitted
	}
	if now != before {
		s.common.Event(event).WithField("shard", s.id).WithField("quarantined", now).Warn("workers in quarantine have changed")
	}
}

func (s *shardDuty) observeLog() {
	slow := s.core.LogStalled()
	if slow == s.slow {
		return
	}
	s.slow = slow
	if slow {
		s.common.Event(common.EventLogSlow).WithField("shard", s.id).Warn("the log service does not answer, placement pauses")
		return
	}
	s.common.Event(common.EventLogFast).WithField("shard", s.id).Info("the log service answers again")
}
