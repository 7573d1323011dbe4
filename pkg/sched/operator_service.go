package sched

import (
	"errors"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/shard"
)

// operatorService answers operators.
type operatorService struct {
	daemon *Daemon
}

// WhyArgs names a task.
type WhyArgs struct {
	Task oleanderline.TaskID
}

// Why explains a task.
func (o *operatorService) Why(args WhyArgs, reply *shard.Explanation) error {
	id, err := o.daemon.shardOf(oleanderline.JobID(args.Task))
	if err != nil {
		return err
	}
	return o.daemon.shards[id].inspect(o.daemon.ctx, func(core *shard.Core) { *reply = core.Why(args.Task) })
}

// StatusArgs is empty.
type StatusArgs struct{}

// StatusReply describes all shards as this process sees them.
type StatusReply struct {
	ID       oleanderline.VMID
	Revision oleanderline.Revision
	Shards   []shard.Status
}

// Status returns the state of all shards.
func (o *operatorService) Status(_ StatusArgs, reply *StatusReply) error {
	d := o.daemon
	reply.ID, reply.Revision = d.settings.vmID(), d.rules.Current().Revision
	reply.Shards = make([]shard.Status, len(d.shards))
	var failed error
	for i, s := range d.shards {
		failed = errors.Join(failed, s.inspect(d.ctx, func(core *shard.Core) { reply.Shards[i] = core.Status() }))
	}
	return failed
}
