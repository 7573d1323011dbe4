package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/standin"
)

// Timeouts of the phases.
const (
	sequenceTimeout = maxElapsed - stopTimeout - requestTimeout // from the start up to stopping the remaining daemons
	readyTimeout    = 10 * time.Second
	stopTimeout     = 8 * time.Second
)

// Demo runs the whole system in one process.
type Demo struct {
	out          io.Writer
	logger       *logrus.Logger
	common       *common.Common
	layout       standin.Layout
	platform     *standin.Platform
	controlURL   string
	logURL       string
	vmsURL       string
	vms          []*ownVM
	jobs         *jobClient
	load         *loadGenerator
	facts        Facts
	stay         context.Context // nil to end after the sequence
	drainInForce time.Time       // when the drain was in force everywhere
}

// Option configures a Demo.
type Option func(*Demo)

// WithStay keeps the system running after the sequence until ctx ends.
func WithStay(ctx context.Context) Option { return func(d *Demo) { d.stay = ctx } }

// New returns a demo that prints to out. Its daemons log to logger.
func New(out io.Writer, logger *logrus.Logger, options ...Option) *Demo {
	d := &Demo{
		out: out, logger: logger, common: common.New("demo", common.WithLogger(logger)), layout: standin.DefaultLayout(),
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// Run executes the sequence, prints the result table and reports whether every check passed. It returns within maxElapsed,
// unless WithStay is set.
func (d *Demo) Run(ctx context.Context) (bool, error) {
	start := time.Now()
	sequenceCtx, cancel := context.WithTimeout(ctx, sequenceTimeout)
	defer cancel()
	if err := d.start(sequenceCtx); err != nil {
		return false, errors.Join(err, d.stop())
	}
	if err := d.sequence(sequenceCtx); err != nil {
		d.facts.StepErrors = append(d.facts.StepErrors, err.Error())
	}
	d.collect(ctx)
	d.facts.Elapsed = time.Since(start)
	if d.stay != nil {
		// Checks are evaluated before the user takes over: faults that the user injects, such as an outage of the log
		// service, may make planned stops fail.
		passed := WriteTable(d.out, Checks(d.facts))
		d.waitForEnd()
		return passed, d.stop()
	}
	stopStart := time.Now()
	if err := d.stop(); err != nil {
		d.facts.StopErrors = append(d.facts.StopErrors, err.Error())
	}
	d.facts.Elapsed += time.Since(stopStart)
	return WriteTable(d.out, Checks(d.facts)), nil
}

// start starts the platform and the own VMs, and waits until all daemons are ready.
func (d *Demo) start(ctx context.Context) error {
	d.printStep("starting the stand-in platform with %d workers and %d minions", d.layout.Workers, d.layout.Minions)
	platform, err := standin.NewPlatform(d.common.Clock, d.layout)
	if err != nil {
		return err
	}
	d.platform = platform
	if err := d.servePlatform(); err != nil {
		return err
	}
	ports, err := findPorts(d.layout.Own)
	if err != nil {
		return err
	}
	d.printStep("starting %d own VMs, each with an entry and a scheduler", len(d.layout.Own))
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
	d.newClients()
	for _, vm := range d.vms {
		if err := poll(ctx, readyTimeout, vm.checkReady); err != nil {
			return fmt.Errorf("%s did not become ready within %s: %w", vm.id, readyTimeout, err)
		}
	}
	return nil
}

func (d *Demo) servePlatform() error {
	for _, part := range []struct {
		serve func() (string, error)
		url   *string
	}{
		{func() (string, error) { return d.platform.Serve("127.0.0.1:0", d.platform.Log.Handler()) }, &d.logURL},
		{func() (string, error) { return d.platform.Serve("127.0.0.1:0", d.platform.VMs.Handler()) }, &d.vmsURL},
		{func() (string, error) { return d.platform.Serve("127.0.0.1:0", d.platform.ControlHandler(nil)) }, &d.controlURL},
	} {
		address, err := part.serve()
		if err != nil {
			return err
		}
		*part.url = "http://" + address
	}
	return nil
}

// newClients creates the clients that send requests and jobs to the own VMs.
func (d *Demo) newClients() {
	var entries, scheds []target
	for _, vm := range d.vms {
		entries = append(entries, target{vm.id, vm.url(vm.ports.callers)})
		scheds = append(scheds, target{vm.id, vm.url(vm.ports.jobs)})
	}
	d.load = newLoadGenerator(d.layout.Service, newBalancer(entries))
	d.jobs = newJobClient(newBalancer(scheds))
}

// alive returns the own VMs that have been neither killed nor stopped.
func (d *Demo) alive() []*ownVM {
	var vms []*ownVM
	for _, vm := range d.vms {
		if !vm.stopped {
			vms = append(vms, vm)
		}
	}
	return vms
}

// stop makes a planned stop of the daemons, one VM after the other as an operator would, and then closes the platform.
func (d *Demo) stop() error {
	var errs []error
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, vm := range d.alive() {
		if err := vm.stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", vm.id, err))
		}
		vm.stopped = true
	}
	if d.platform != nil {
		errs = append(errs, d.platform.Close())
	}
	return errors.Join(errs...)
}

func (d *Demo) printStep(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, "- "+format+"\n", args...)
}
