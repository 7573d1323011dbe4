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

// Limits on waiting.
const (
	sequenceLimit = maxElapsed - stopLimit - maxWait // from the start to the last planned stop
	readyLimit    = 10 * time.Second
	stopLimit     = 8 * time.Second
)

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

// Run goes through the sequence, prints the table and reports whether every check passed. It ends within maxElapsed,
// unless it is told to stay.
func (d *Demo) Run(ctx context.Context) (bool, error) {
	start := time.Now()
	bound, cancel := context.WithTimeout(ctx, sequenceLimit)
	defer cancel()
	if err := d.up(bound); err != nil {
		return false, errors.Join(err, d.down())
	}
	if err := d.sequence(bound); err != nil {
		d.facts.StepErrors = append(d.facts.StepErrors, err.Error())
	}
	d.collect(ctx)
	d.facts.Elapsed = time.Since(start)
	if d.stay != nil {
		// The checks end here: what the user tries afterwards, such as an outage of the log, may let planned stops fail.
		passed := WriteTable(d.out, Checks(d.facts))
		d.remain()
		return passed, d.down()
	}
	stopping := time.Now()
	if err := d.down(); err != nil {
		d.facts.StopErrors = append(d.facts.StopErrors, err.Error())
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
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	for _, vm := range d.alive() {
		if err := vm.stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", vm.id, err))
		}
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
