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

// Times of the sequence. Together with the limits on waiting they stay within maxElapsed.
const (
	rulesLimit  = 5 * time.Second // from the design's targets
	jobsLimit   = 14 * time.Second
	beforeDrain = 3 * time.Second
	beforeKill  = 3 * time.Second
	afterKill   = 6 * time.Second
)

// killedOwner is a shard whose owner is killed, so that it must be taken over.
const killedOwner oleanderline.ShardID = 0

// sequence is what happens while the system is up.
func (d *Demo) sequence(ctx context.Context) error {
	if err := d.publish(ctx, examples.Rules); err != nil {
		return err
	}
	d.say("sending requests from %d callers, and jobs", callers)
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
	if err := sleep(ctx, beforeDrain); err != nil {
		return err
	}
	d.facts.DrainedVM = d.busiest()
	d.facts.DrainedBefore = d.running(d.facts.DrainedVM)
	d.say("draining %s by a rule, %d tasks run there", d.facts.DrainedVM, d.facts.DrainedBefore)
	drain := fmt.Sprintf("drain vm=%s   # shown by the demo\n", d.facts.DrainedVM)
	if err := d.publish(ctx, examples.Rules+drain); err != nil {
		return err
	}
	d.inForce = time.Now()
	d.jobs.submit(ctx, secondJobs...)
	if err := sleep(ctx, beforeKill); err != nil {
		return err
	}
	d.kill(d.ownerOf(killedOwner))
	d.jobs.submit(ctx, thirdJobs...)
	if err := sleep(ctx, afterKill); err != nil {
		return err
	}
	revisions, err := d.revisions(ctx)
	if err != nil {
		return err
	}
	d.facts.Revisions = revisions
	if d.stay == nil {
		if err := d.stopOne(ctx); err != nil {
			return err
		}
	}
	d.say("waiting for the tasks to finish")
	// A failure shows in the checks with the state of each job.
	_ = until(ctx, jobsLimit, d.jobs.finished)
	return nil
}

// publish publishes a revision of the rules and waits until it is in force on all daemons.
func (d *Demo) publish(ctx context.Context, text string) error {
	publisher := rules.NewPublisher(d.common, d.platform.Log)
	ctx, cancel := context.WithTimeout(ctx, rulesLimit)
	defer cancel()
	receipt, err := publisher.Publish(ctx, rules.Request{
		ID: fmt.Sprintf("demo-%d", time.Now().UnixNano()), Base: d.facts.Published, By: "demo", Text: text,
	})
	if err != nil {
		return fmt.Errorf("publish rules: %w", err)
	}
	d.facts.Published = receipt.Revision
	start := time.Now()
	err = until(ctx, rulesLimit, func(ctx context.Context) error {
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
		return fmt.Errorf("rules revision %d is not in force everywhere within %s: %w", receipt.Revision, rulesLimit, err)
	}
	d.say("rules revision %d in force on all own VMs after %s", receipt.Revision, time.Since(start).Round(time.Millisecond))
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
		tasks += d.running(id)
	}
	d.say("killing %s, the owner of shard %d; %d tasks run on all workers", vm.id, killedOwner, tasks)
	d.load.noteKill(vm.id)
	vm.kill()
	d.load.balancer.remove(vm.id)
	d.jobs.balancer.remove(vm.id)
	d.platform.VMs.Gone(vm.id)
}

// busiest returns the worker that runs the most tasks.
func (d *Demo) busiest() oleanderline.VMID {
	var busiest oleanderline.VMID
	for id := range d.platform.Workers {
		if busiest == "" || d.running(id) > d.running(busiest) {
			busiest = id
		}
	}
	return busiest
}

// running returns the number of tasks that run on a worker.
func (d *Demo) running(id oleanderline.VMID) int {
	running, _ := drained(d.platform.Workers[id].Runs(), time.Time{})
	return running
}

// ownerOf returns the own VM that owns a shard, as its stream tells it, or the first one.
func (d *Demo) ownerOf(id oleanderline.ShardID) *ownVM {
	owner := d.vms[0]
	const all = 100_000
	batch, err := d.platform.Log.Read(context.Background(), journal.StreamName(d.layout.Region, id), 1, all)
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

// stopOne makes a planned stop of one own VM while requests go on.
func (d *Demo) stopOne(ctx context.Context) error {
	vm := d.alive()[0]
	d.say("planned stop of %s", vm.id)
	stopped := make(chan error, 1)
	go func() { stopped <- vm.stop(ctx) }()
	err := until(ctx, stopLimit, func(ctx context.Context) error {
		if vm.ready(ctx) == nil {
			return fmt.Errorf("%s is still ready", vm.id)
		}
		return nil
	})
	d.load.balancer.remove(vm.id)
	d.jobs.balancer.remove(vm.id)
	if err := <-stopped; err != nil {
		d.facts.StopErrors = append(d.facts.StopErrors, fmt.Sprintf("%s: %v", vm.id, err))
	}
	vm.ended = true
	return err
}

func sleep(ctx context.Context, length time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(length):
		return nil
	}
}
