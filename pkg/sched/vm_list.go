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

// vmList holds the newest VM list of the region.
type vmList struct {
	mu     sync.Mutex
	vms    []oleanderline.VM
	loaded bool
	readAt time.Time
	failed bool
}

// serviceState returns the state of the VM list for operators.
func (l *vmList) serviceState(now time.Time) operator.ServiceState {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded {
		return operator.ServiceState{Down: l.failed, Age: -1}
	}
	return operator.ServiceState{Down: l.failed, Age: now.Sub(l.readAt)}
}

func (l *vmList) known() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loaded
}

func (l *vmList) get() []oleanderline.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vms
}

// pollVMs reads the VM list and delivers the workers to their shards. If the read fails, the previous list stays in use.
func (d *Daemon) pollVMs() {
	requestedAt := d.common.Clock.Now()
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	vms, err := d.vmClient.List(ctx)
	if d.ctx.Err() != nil {
		return
	}
	d.vmList.mu.Lock()
	if err != nil && !d.vmList.failed {
		d.common.Event(common.EventVMListFailed).WithError(err).Warn("cannot read the VM list; keeping the last one")
	}
	d.vmList.failed = err != nil
	if err == nil {
		vms = slices.DeleteFunc(vms, func(vm oleanderline.VM) bool { return vm.Region != d.settings.region() })
		d.vmList.vms, d.vmList.loaded, d.vmList.readAt = vms, true, requestedAt
	}
	d.vmList.mu.Unlock()
	if err == nil {
		d.distributeVMs(vms, requestedAt)
	}
}

func (d *Daemon) distributeVMs(vms []oleanderline.VM, requestedAt time.Time) {
	byShard := make([][]oleanderline.VM, len(d.shards))
	capacities := make([]oleanderline.Size, len(d.shards))
	var largest []oleanderline.Size
	for _, vm := range vms {
		if vm.Role != oleanderline.RoleWorker {
			continue
		}
		id := shard.ForWorker(vm, len(d.shards))
		byShard[id] = append(byShard[id], vm)
		capacities[id] = capacities[id].Add(vm.Size)
		largest = addLargest(largest, vm.Size)
	}
	for i, s := range d.shards {
		s.deliver(shard.VMs{Workers: byShard[i], RequestedAt: requestedAt, Shards: capacities, Largest: largest})
	}
}

// addLargest adds a size to the list unless another one is at least as large in every resource, and removes the sizes that
// it makes redundant.
func addLargest(sizes []oleanderline.Size, size oleanderline.Size) []oleanderline.Size {
	if slices.ContainsFunc(sizes, size.Fits) {
		return sizes
	}
	sizes = slices.DeleteFunc(sizes, func(other oleanderline.Size) bool { return other.Fits(size) })
	return append(sizes, size)
}

// applyRules delivers the rules in force, and the workers that they drain, to the shards.
func (d *Daemon) applyRules() {
	now := d.common.Clock.Now()
	drains := make([]map[oleanderline.WorkerID]string, len(d.shards))
	for i := range drains {
		drains[i] = map[oleanderline.WorkerID]string{}
	}
	set := d.rules.Current()
	found := map[oleanderline.WorkerID]string{}
	for _, vm := range d.vmList.get() {
		if vm.Role != oleanderline.RoleWorker {
			continue
		}
		if rule := drainRule(set, vm, now); rule != "" {
			id := oleanderline.WorkerID(vm.ID)
			found[id] = rule
			drains[shard.ForWorker(vm, len(d.shards))][id] = rule
		}
	}
	d.logDrains(found)
	for i, s := range d.shards {
		s.deliver(shard.Drains{Workers: drains[i]})
		s.deliver(shard.Rules{Set: set})
	}
}

// drainRule describes the first active rule that drains a worker, or returns "".
func drainRule(set *rules.Set, vm oleanderline.VM, now time.Time) string {
	target := rules.Target{VM: vm.ID, Rack: vm.Rack, Domain: vm.Domain}
	for i := range set.Drains {
		if drain := &set.Drains[i]; drain.Active(now) && drain.Matches(target) {
			return fmt.Sprintf("drain rule in line %d of revision %d (%s)", drain.Line, set.Revision, drain.Comment)
		}
	}
	return ""
}

// logDrains logs the drains that begin and end. Every scheduler logs them, whether or not it owns the worker's shard.
func (d *Daemon) logDrains(found map[oleanderline.WorkerID]string) {
	for id, rule := range found {
		if d.drains[id] == "" {
			d.common.Event(common.EventWorkerDrains).WithField("worker", id).WithField("rule", rule).Info("drain of worker begins; its batch tasks are moved")
		}
	}
	for id, rule := range d.drains {
		if found[id] == "" {
			d.common.Event(common.EventWorkerDrainEnds).WithField("worker", id).WithField("rule", rule).Info("drain of worker ends; it may get tasks again")
		}
	}
	d.drains = found
}
