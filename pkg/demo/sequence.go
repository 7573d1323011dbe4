package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/examples"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Times of the sequence. Together with the timeouts of the phases they stay within maxElapsed.
const (
	rulesTimeout    = 5 * time.Second // target of the design for a rules change to be in force everywhere
	jobsTimeout     = 14 * time.Second
	waitBeforeDrain = 3 * time.Second
	waitBeforeKill  = 3 * time.Second
	waitAfterKill   = 6 * time.Second
)

// failoverShard is the shard whose owner is killed, so that another own VM must take it over.
const failoverShard oleanderline.ShardID = 0

// sequence runs the steps of the demo: publish rules, send requests and jobs, drain a worker, kill an own VM, and make a
// planned stop of another one.
func (d *Demo) sequence(ctx context.Context) error {
	if err := d.publish(ctx, examples.Rules); err != nil {
		return err
	}
	d.printStep("sending requests from %d callers, and submitting jobs", callers)
	loadCtx, endLoad := context.WithCancel(ctx)
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		d.load.run(loadCtx, d.layout.Seed)
	}()
	defer func() {
		endLoad()
		<-loadDone
	}()
	d.jobs.submit(ctx, firstJobs...)
	if err := sleep(ctx, waitBeforeDrain); err != nil {
		return err
	}
	d.facts.DrainedVM = d.busiestWorker()
	d.facts.DrainedBefore = d.runningTasks(d.facts.DrainedVM)
	d.printStep("draining %s by a rule; %d tasks are running on it", d.facts.DrainedVM, d.facts.DrainedBefore)
	drain := fmt.Sprintf("drain vm=%s   # shown by the demo\n", d.facts.DrainedVM)
	if err := d.publish(ctx, examples.Rules+drain); err != nil {
		return err
	}
	d.drainInForce = time.Now()
	d.jobs.submit(ctx, secondJobs...)
	if err := sleep(ctx, waitBeforeKill); err != nil {
		return err
	}
	d.kill(d.ownerOf(failoverShard))
	d.jobs.submit(ctx, thirdJobs...)
	if err := sleep(ctx, waitAfterKill); err != nil {
		return err
	}
	revisions, err := d.revisions(ctx)
	if err != nil {
		return err
	}
	d.facts.Revisions = revisions
	if d.stay == nil {
		if err := d.stopOneVM(ctx); err != nil {
			return err
		}
	}
	d.printStep("waiting for the tasks to finish")
	// The error is ignored, because the checks report unfinished tasks by job.
	_ = poll(ctx, jobsTimeout, d.jobs.checkFinished)
	return nil
}

// publish publishes a revision of the rules and waits until it is in force on all running daemons.
func (d *Demo) publish(ctx context.Context, text string) error {
	publisher := rules.NewPublisher(d.common, d.platform.Log)
	ctx, cancel := context.WithTimeout(ctx, rulesTimeout)
	defer cancel()
	receipt, err := publisher.Publish(ctx, rules.Request{
		ID: fmt.Sprintf("demo-%d", time.Now().UnixNano()), Base: d.facts.Published, By: "demo", Text: text,
	})
	if err != nil {
		return fmt.Errorf("publish rules: %w", err)
	}
	d.facts.Published = receipt.Revision
	start := time.Now()
	err = poll(ctx, rulesTimeout, func(ctx context.Context) error {
		revisions, err := d.revisions(ctx)
		if err != nil {
			return err
		}
		for name, revision := range revisions {
			if revision != receipt.Revision {
				return fmt.Errorf("%s has revision %d", name, revision)
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("rules revision %d is not in force everywhere within %s: %w", receipt.Revision, rulesTimeout, err)
	}
	d.printStep("rules revision %d in force on all own VMs after %s", receipt.Revision, time.Since(start).Round(time.Millisecond))
	return nil
}

func (d *Demo) revisions(ctx context.Context) (map[string]oleanderline.Revision, error) {
	all := map[string]oleanderline.Revision{}
	for _, vm := range d.alive() {
		revisions, err := vm.revisions(ctx)
		if err != nil {
			return nil, err
		}
		for name, revision := range revisions {
			all[name] = revision
		}
	}
	return all, nil
}

func (d *Demo) kill(vm *ownVM) {
	tasks := 0
	for id := range d.platform.Workers {
		tasks += d.runningTasks(id)
	}
	d.printStep("killing %s, the owner of shard %d; %d tasks are running on all workers", vm.id, failoverShard, tasks)
	d.load.recordKill(vm.id)
	vm.kill()
	d.load.balancer.remove(vm.id)
	d.jobs.balancer.remove(vm.id)
	d.platform.VMs.Remove(vm.id)
}

// busiestWorker returns the worker that runs the most tasks.
func (d *Demo) busiestWorker() oleanderline.VMID {
	var busiest oleanderline.VMID
	for id := range d.platform.Workers {
		if busiest == "" || d.runningTasks(id) > d.runningTasks(busiest) {
			busiest = id
		}
	}
	return busiest
}

// runningTasks returns the number of tasks that are running on a worker.
func (d *Demo) runningTasks(id oleanderline.VMID) int {
	running, _ := countRuns(d.platform.Workers[id].Runs(), time.Time{})
	return running
}

// ownerOf returns the own VM with the last claim in the shard's stream, or the first own VM if there is none.
func (d *Demo) ownerOf(id oleanderline.ShardID) *ownVM {
	owner := d.vms[0]
	const maxEntries = 100_000
	batch, err := d.platform.Log.Read(context.Background(), journal.StreamName(d.layout.Region, id), 1, maxEntries)
	if err != nil {
		return owner
	}
	for _, e := range batch.Entries {
		group, err := journal.Decode(e.Data)
		if err != nil {
			continue
		}
		for _, record := range group.List {
			for _, vm := range d.vms {
				if record.Kind == journal.KindClaim && record.Owner == vm.id {
					owner = vm
				}
			}
		}
	}
	return owner
}

// stopOneVM makes a planned stop of one own VM while requests continue.
func (d *Demo) stopOneVM(ctx context.Context) error {
	vm := d.alive()[0]
	d.printStep("planned stop of %s", vm.id)
	stopped := make(chan error, 1)
	go func() { stopped <- vm.stop(ctx) }()
	err := poll(ctx, stopTimeout, func(ctx context.Context) error {
		if vm.checkReady(ctx) == nil {
			return fmt.Errorf("%s is still ready", vm.id)
		}
		return nil
	})
	d.load.balancer.remove(vm.id)
	d.jobs.balancer.remove(vm.id)
	if err := <-stopped; err != nil {
		d.facts.StopErrors = append(d.facts.StopErrors, fmt.Sprintf("%s: %v", vm.id, err))
	}
	vm.stopped = true
	return err
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
