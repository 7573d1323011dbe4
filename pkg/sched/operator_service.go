package sched

import (
	"context"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/operator"
	"github.com/oleanderline/oleanderline/pkg/shard"
)

// inspectTimeout bounds the wait for a shard's duty, which may have many callers before the operator.
const inspectTimeout = time.Second

// operatorView is what operators see of the daemon.
type operatorView struct {
	daemon  *Daemon
	started time.Time
}

// Status implements operator.Statuser.
func (o *operatorView) Status() operator.Status {
	d := o.daemon
	status := operator.Status{
		Daemon: "sched", ID: d.settings.VMID(), Region: d.settings.region(),
		Domain: oleanderline.DomainID(d.settings.Domain), Started: o.started, Stopping: d.stopping.Load(),
		VMList: d.workers.service(d.common.Clock.Now()), Members: d.roster.members(),
	}
	now := d.common.Clock.Now()
	status.LogService = operator.Service{Age: -1}
	for _, s := range d.shards {
		s.inspectBriefly(func(core *shard.Core) {
			addShard(&status, core.Status(), now)
			if core.Owning() {
				status.Workers.Quarantined += core.Quarantined()
			}
		})
	}
	return status
}

// addShard adds what one core tells. The log service is as old as the last read of any stream.
func addShard(status *operator.Status, s shard.Status, now time.Time) {
	if !s.ReadAt.IsZero() {
		age := now.Sub(s.ReadAt)
		if status.LogService.Age < 0 || age < status.LogService.Age {
			status.LogService.Age = age
		}
	}
	status.LogService.Down = status.LogService.Down || s.LogStalled
	if !s.Owning {
		return
	}
	status.Shards = append(status.Shards, operator.Shard{
		ID: s.Shard, Term: s.Term, Ready: s.Acting && s.Unknown == 0, Waiting: s.Waiting, Running: s.Running,
		Age: now.Sub(s.ReadAt),
	})
	status.Workers.Live += s.Workers - s.Leaving
	status.Workers.Leaving += s.Leaving
	status.Workers.Unreachable += s.Unreachable
}

// Why implements operator.Explainer. Only the owner of a task's shard knows all about it.
func (o *operatorView) Why(task oleanderline.TaskID) operator.Why {
	why := operator.Why{Task: task}
	id, err := o.daemon.shardOf(oleanderline.JobID(task))
	if err != nil {
		return why
	}
	o.daemon.shards[id].inspectBriefly(func(core *shard.Core) {
		if !core.Owning() {
			return
		}
		e := core.Why(task)
		why = operator.Why{
			Found: true, Task: task, State: e.State, Attempt: e.Attempt, Worker: e.Worker, Since: e.Since,
			Reasons: e.Reasons,
		}
	})
	return why
}

func (s *shardDuty) inspectBriefly(look question) {
	ctx, cancel := context.WithTimeout(s.ctx, inspectTimeout)
	defer cancel()
	_ = s.inspect(ctx, look)
}
