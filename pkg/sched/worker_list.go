package sched

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/operator"
	"github.com/oleanderline/oleanderline/pkg/rules"
	"github.com/oleanderline/oleanderline/pkg/shard"
)

// workerList is the newest VM list of the region.
type workerList struct {
	mu     sync.Mutex
	rows   []oleanderline.VM
	read   bool
	readAt time.Time
	failed bool
}

// service tells operators how the VM list answers.
func (l *workerList) service(now time.Time) operator.Service {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.read {
		return operator.Service{Down: l.failed, Age: -1}
	}
	return operator.Service{Down: l.failed, Age: now.Sub(l.readAt)}
}

func (l *workerList) known() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.read
}

func (l *workerList) get() []oleanderline.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rows
}

// pollVMs reads the VM list and passes the workers to their shards. If that fails, the last list is kept.
func (d *Daemon) pollVMs() {
	asked := d.common.Clock.Now()
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	rows, err := d.vms.List(ctx)
	if d.ctx.Err() != nil {
		return
	}
	d.workers.mu.Lock()
	if err != nil && !d.workers.failed {
		d.common.Event(common.EventVMListFailed).WithError(err).Warn("VM list cannot be read, the last one is kept")
	}
	d.workers.failed = err != nil
	if err == nil {
		rows = slices.DeleteFunc(rows, func(vm oleanderline.VM) bool { return vm.Region != d.settings.region() })
		d.workers.rows, d.workers.read, d.workers.readAt = rows, true, asked
	}
	d.workers.mu.Unlock()
	if err == nil {
		d.passVMs(rows, asked)
	}
}

func (d *Daemon) passVMs(rows []oleanderline.VM, asked time.Time) {
	byShard := make([][]oleanderline.VM, len(d.shards))
	shards := make([]oleanderline.Size, len(d.shards))
	var largest []oleanderline.Size
	for _, vm := range rows {
		if vm.Role != oleanderline.RoleWorker {
			continue
		}
		id := shard.ForWorker(vm, len(d.shards))
		byShard[id] = append(byShard[id], vm)
		shards[id] = shards[id].Add(vm.Size)
		largest = addLargest(largest, vm.Size)
	}
	for i, s := range d.shards {
		s.deliver(shard.VMs{Workers: byShard[i], Asked: asked, Shards: shards, Largest: largest})
	}
}

// addLargest keeps the sizes that no other exceeds in every resource.
func addLargest(sizes []oleanderline.Size, size oleanderline.Size) []oleanderline.Size {
	if slices.ContainsFunc(sizes, size.Fits) {
		return sizes
	}
	sizes = slices.DeleteFunc(sizes, func(other oleanderline.Size) bool { return other.Fits(size) })
	return append(sizes, size)
}

// applyRules passes the drains in force to the shards.
func (d *Daemon) applyRules() {
	now := d.common.Clock.Now()
	drains := make([]map[oleanderline.WorkerID]string, len(d.shards))
	for i := range drains {
		drains[i] = map[oleanderline.WorkerID]string{}
	}
	set := d.rules.Current()
	found := map[oleanderline.WorkerID]string{}
	for _, vm := range d.workers.get() {
		if vm.Role != oleanderline.RoleWorker {
			continue
		}
		if rule := drainRule(set, vm, now); rule != "" {
			id := oleanderline.WorkerID(vm.ID)
			found[id] = rule
			drains[shard.ForWorker(vm, len(d.shards))][id] = rule
		}
	}
	d.noteDrains(found)
	for i, s := range d.shards {
		s.deliver(shard.Drains{Workers: drains[i]})
		s.deliver(shard.Rules{Set: set})
	}
}

// drainRule names the first rule that drains a worker, or is "".
func drainRule(set *rules.Set, vm oleanderline.VM, now time.Time) string {
	here := rules.Target{VM: vm.ID, Rack: vm.Rack, Domain: vm.Domain}
	for i := range set.Drains {
		if drain := &set.Drains[i]; drain.Active(now) && drain.Matches(here) {
			return fmt.Sprintf("drain rule in line %d of revision %d (%s)", drain.Line, set.Revision, drain.Who)
		}
	}
	return ""
}

// noteDrains logs the drains that begin and end. Every scheduler logs them, whichever owns the worker's shard.
func (d *Daemon) noteDrains(found map[oleanderline.WorkerID]string) {
	for id, rule := range found {
		if d.drains[id] == "" {
			d.common.Event(common.EventWorkerDrains).WithField("worker", id).WithField("rule", rule).Info("worker is drained")
		}
	}
	for id, rule := range d.drains {
		if found[id] == "" {
			d.common.Event(common.EventWorkerDrainEnds).WithField("worker", id).WithField("rule", rule).Info("drain of worker ends")
		}
	}
	d.drains = found
}
