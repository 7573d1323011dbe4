package sched

import (
	"context"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/operator"
	"github.com/oleanderline/oleanderline/pkg/shard"
)

// inspectTimeout is the longest wait for a shard's event loop, which may have many requests of callers queued.
const inspectTimeout = time.Second

// operatorView implements the operator calls Status and Why.
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
		VMList: d.vmList.serviceState(d.common.Clock.Now()), Members: d.membership.members(),
	}
	now := d.common.Clock.Now()
	status.LogService = operator.ServiceState{Age: -1}
	for _, s := range d.shards {
		s.inspectWithTimeout(func(core *shard.Core) {
			addShard(&status, core.Status(), now)
			if core.Owning() {
				status.Workers.Quarantined += core.Quarantined()
			}
		})
	}
	return status
}

// addShard adds the status of one core. The age of the log service is that of the most recent read of any stream.
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

// Explain implements operator.Explainer. The answer is complete only at the owner of the task's shard, so other processes report
// that they have not found the task.
func (o *operatorView) Explain(task oleanderline.TaskID) operator.TaskExplanation {
	why := operator.TaskExplanation{Task: task}
	id, err := o.daemon.shardOf(oleanderline.JobID(task))
	if err != nil {
		return why
	}
	o.daemon.shards[id].inspectWithTimeout(func(core *shard.Core) {
		if !core.Owning() {
			return
		}
		e := core.Explain(task)
		why = operator.TaskExplanation{
			Found: true, Task: task, State: e.State, Attempt: e.Attempt, Worker: e.Worker, Since: e.Since,
			Reasons: e.Reasons,
		}
	})
	return why
}

func (s *shardRunner) inspectWithTimeout(f coreFunc) {
	ctx, cancel := context.WithTimeout(s.ctx, inspectTimeout)
	defer cancel()
	_ = s.inspect(ctx, f)
}
