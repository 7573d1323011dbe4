package sched

import (
	"context"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/duty"
	"github.com/oleanderline/oleanderline/pkg/shard"
)

// workerDuty makes the calls to one worker, one at a time, in the order in which the core decided them.
type workerDuty struct {
	shard   *shardDuty
	id      oleanderline.WorkerID
	duty    *duty.Duty
	address string
	client  oleanderline.Worker
	failing bool
}

func newWorkerDuty(s *shardDuty, id oleanderline.WorkerID) *workerDuty {
	w := &workerDuty{shard: s, id: id}
	w.duty = duty.New(s.common.Actors(), ioMailbox, w.handle)
	return w
}

func (w *workerDuty) handle(message any) {
	call, ok := message.(shard.Call)
	if !ok || w.shard.ctx.Err() != nil {
		return
	}
	if w.client == nil || w.address != call.Address {
		w.client, w.address = w.shard.dial(call.Address), call.Address
	}
	done := shard.CallDone{Worker: call.Worker, ID: call.ID}
	if !w.shard.common.Clock.Now().After(call.Before) {
		done.Sent = true
		w.call(call, &done)
		w.note(done.Err)
	}
	w.shard.deliver(done)
}

func (w *workerDuty) call(call shard.Call, done *shard.CallDone) {
	ctx, cancel := context.WithTimeout(w.shard.ctx, callTimeout)
	defer cancel()
	w.shard.metrics.calls.Inc()
	switch call.Kind {
	case shard.CallStart:
		done.Err = w.client.Start(ctx, call.Start)
	case shard.CallRenew:
		done.Inventory, done.Err = w.client.Renew(ctx, call.Renew)
	case shard.CallStop:
		done.Stop, done.Err = w.client.Stop(ctx, call.Stop)
	case shard.CallInventory:
		done.Inventory, done.Err = w.client.Inventory(ctx, w.shard.id)
	case shard.CallUsage:
		done.Usage, done.Err = w.client.Usage(ctx)
	case shard.CallThrottle:
		done.Err = w.client.Throttle(ctx, call.Throttle)
	}
}

// note logs the first of several failures in a row.
func (w *workerDuty) note(err error) {
	if err != nil && !w.failing && w.shard.ctx.Err() == nil {
		w.shard.metrics.callErrors.Inc()
		w.shard.common.Event(common.EventWorkerFailed).WithError(err).WithField("worker", w.id).Warn("call to a worker failed")
	}
	w.failing = err != nil
}
