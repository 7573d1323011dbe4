package sched

import (
	"context"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/eventloop"
	"github.com/oleanderline/oleanderline/pkg/shard"
)

// workerCaller makes the calls to one worker, one at a time, in the order in which the core emitted them.
type workerCaller struct {
	runner  *shardRunner
	id      oleanderline.WorkerID
	loop    *eventloop.Loop
	address string
	client  oleanderline.Worker
	failing bool
}

func newWorkerCaller(s *shardRunner, id oleanderline.WorkerID) *workerCaller {
	w := &workerCaller{runner: s, id: id}
	w.loop = eventloop.New(s.common.Actors(), ioMailboxSize, w.handle)
	return w
}

func (w *workerCaller) handle(message any) {
	call, ok := message.(shard.Call)
	if !ok || w.runner.ctx.Err() != nil {
		return
	}
	if w.client == nil || w.address != call.Address {
		w.client, w.address = w.runner.dial(call.Address), call.Address
	}
	done := shard.CallDone{Worker: call.Worker, ID: call.ID}
	if !w.runner.common.Clock.Now().After(call.Before) {
		done.Sent = true
		w.call(call, &done)
		w.recordResult(done.Err)
	}
	w.runner.deliver(done)
}

func (w *workerCaller) call(call shard.Call, done *shard.CallDone) {
	ctx, cancel := context.WithTimeout(w.runner.ctx, callTimeout)
	defer cancel()
	w.runner.metrics.calls.Inc()
	switch call.Kind {
	case shard.CallStart:
		done.Err = w.client.Start(ctx, call.Start)
	case shard.CallRenew:
		done.Inventory, done.Err = w.client.Renew(ctx, call.Renew)
	case shard.CallStop:
		done.Stop, done.Err = w.client.Stop(ctx, call.Stop)
	case shard.CallInventory:
		done.Inventory, done.Err = w.client.Inventory(ctx, w.runner.id)
	case shard.CallUsage:
		done.Usage, done.Err = w.client.Usage(ctx)
	case shard.CallThrottle:
		done.Err = w.client.Throttle(ctx, call.Throttle)
	}
}

// recordResult logs and counts the first of several failed calls in a row.
func (w *workerCaller) recordResult(err error) {
	if err != nil && !w.failing && w.runner.ctx.Err() == nil {
		w.runner.metrics.callErrors.Inc()
		w.runner.common.Event(common.EventWorkerFailed).WithError(err).WithField("worker", w.id).Warn("call to worker failed; not logged again until a call succeeds")
	}
	w.failing = err != nil
}
