package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/examples"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/rules"
	"github.com/oleanderline/oleanderline/pkg/standin"
)

// Times of the sequence. Together with the limits on waiting they stay within maxElapsed.
const (
	readyLimit  = 10 * time.Second
	rulesLimit  = 5 * time.Second // from the design's targets
	jobsLimit   = 14 * time.Second
	stopLimit   = 5 * time.Second
	beforeDrain = 3 * time.Second
	beforeKill  = 3 * time.Second
	afterKill   = 6 * time.Second
)

// killedOwner is a shard whose owner is killed, so that it must be taken over.
const killedOwner oleanderline.ShardID = 0

// Demo is the whole system in one process.
type Demo struct {
	out      io.Writer
	logger   *logrus.Logger
	common   *common.Common
	layout   standin.Layout
	platform *standin.Platform
	control  string
	logURL   string
	vmsURL   string
	vms      []*ownVM
	jobs     *jobs
	load     *load
	facts    Facts
	stay     context.Context // nil: end after the sequence
	inForce  time.Time       // when the drain was in force everywhere
}

// Option changes a Demo while it is built.
type Option func(*Demo)

// WithStay keeps the system up after the sequence until ctx ends.
func WithStay(ctx context.Context) Option { return func(d *Demo) { d.stay = ctx } }

// New returns a demo that prints to out; its daemons log to logger.
func New(out io.Writer, logger *logrus.Logger, options ...Option) *Demo {
	d := &Demo{
		out: out, logger: logger, common: common.New("demo", common.WithLogger(logger)), layout: standin.DefaultLayout(),
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// Run goes through the sequence, prints the table and reports whether every check passed.
func (d *Demo) Run(ctx context.Context) (bool, error) {
	start := time.Now()
	if err := d.up(ctx); err != nil {
		return false, errors.Join(err, d.down())
	}
	err := d.sequence(ctx)
	if err == nil {
		d.collect(ctx)
	}
	d.facts.Elapsed = time.Since(start)
	if err == nil && d.stay != nil {
		// The checks end here: what the user tries afterwards, such as an outage of the log, may let planned stops fail.
		passed := WriteTable(d.out, Checks(d.facts))
		d.remain()
		return passed, d.down()
	}
	stopping := time.Now()
	stopped := d.down()
	if err != nil {
		return false, errors.Join(err, stopped)
	}
	if stopped != nil {
		d.facts.StopErrors = append(d.facts.StopErrors, stopped.Error())
	}
	d.facts.Elapsed += time.Since(stopping)
	return WriteTable(d.out, Checks(d.facts)), nil
}

// up starts the platform and the own VMs, and waits until all daemons are ready.
func (d *Demo) up(ctx context.Context) error {
	d.say("starting the stand-in platform: %d workers, %d minions", d.layout.Workers, d.layout.Minions)
	platform, err := standin.NewPlatform(d.common.Clock, d.layout)
	if err != nil {
		return err
	}
	d.platform = platform
	if err := d.serve(); err != nil {
		return err
	}
	ports, err := findPorts(d.layout.Own)
	if err != nil {
		return err
	}
	d.say("starting %d own VMs, an entry and a scheduler each", len(d.layout.Own))
	for i, ip := range d.layout.Own {
		vm, err := d.newVM(i, ip, ports)
		if err != nil {
			return err
		}
		if err := vm.start(ctx); err != nil {
			return err
		}
		d.vms = append(d.vms, vm)
	}
	d.connect()
	for _, vm := range d.vms {
		if err := until(ctx, readyLimit, vm.ready); err != nil {
			return fmt.Errorf("%s within %s: %w", vm.id, readyLimit, err)
		}
	}
	return nil
}

func (d *Demo) serve() error {
	for _, part := range []struct {
		serve func() (string, error)
		url   *string
	}{
		{func() (string, error) { return d.platform.Serve("127.0.0.1:0", d.platform.Log.Handler()) }, &d.logURL},
		{func() (string, error) { return d.platform.Serve("127.0.0.1:0", d.platform.VMs.Handler()) }, &d.vmsURL},
		{func() (string, error) { return d.platform.Serve("127.0.0.1:0", d.platform.ControlHandler(nil)) }, &d.control},
	} {
		address, err := part.serve()
		if err != nil {
			return err
		}
		*part.url = "http://" + address
	}
	return nil
}

// connect makes the callers of the own VMs.
func (d *Demo) connect() {
	var entries, scheds []target
	for _, vm := range d.vms {
		entries = append(entries, target{vm.id, vm.url(vm.ports.callers)})
		scheds = append(scheds, target{vm.id, vm.url(vm.ports.jobs)})
	}
	d.load = newLoad(d.layout.Service, newBalancer(entries))
	d.jobs = newJobs(newBalancer(scheds))
}

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
	if err != nil {
		return err
	}
	d.load.balancer.remove(vm.id)
	d.jobs.balancer.remove(vm.id)
	if err := <-stopped; err != nil {
		d.facts.StopErrors = append(d.facts.StopErrors, fmt.Sprintf("%s: %v", vm.id, err))
	}
	vm.ended = true
	return nil
}

// alive returns the own VMs that run.
func (d *Demo) alive() []*ownVM {
	var vms []*ownVM
	for _, vm := range d.vms {
		if !vm.ended {
			vms = append(vms, vm)
		}
	}
	return vms
}

// down stops the daemons as planned stops, one VM after the other as an operator would, and the platform.
func (d *Demo) down() error {
	var errs []error
	for _, vm := range d.alive() {
		ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
		if err := vm.stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", vm.id, err))
		}
		cancel()
		vm.ended = true
	}
	if d.platform != nil {
		errs = append(errs, d.platform.Close())
	}
	return errors.Join(errs...)
}

func (d *Demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, "- "+format+"\n", args...)
}

func sleep(ctx context.Context, length time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(length):
		return nil
	}
}
