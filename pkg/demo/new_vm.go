package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/entry"
	"github.com/oleanderline/oleanderline/pkg/sched"
)

// sharedKey is the key with which the daemons of the demo authenticate each other. It need not be secret, because the
// demo listens on loopback addresses only.
const sharedKey = "demo-key-for-loopback-only"

// drainDelay is short because the demo removes a stopping VM from its balancer immediately.
const drainDelay = 500 * time.Millisecond

// entryDaemon adapts entry.Daemon to the daemon interface.
type entryDaemon struct{ *entry.Daemon }

// Start implements daemon.
func (e entryDaemon) Start(context.Context) error { return e.Daemon.Start() }

// newVM returns the own VM with index i. Its daemons are not started.
func (d *Demo) newVM(i int, ip string, ports ports) (*ownVM, error) {
	vm := &ownVM{
		id: oleanderline.VMID(fmt.Sprintf("own-%d", i+1)), ip: ip, ports: ports,
		domain: oleanderline.DomainID(fmt.Sprintf("%s-%d", d.layout.Region, i%d.layout.Domains+1)),
	}
	entryServer, err := entry.New(common.New("oleander-entry", common.WithLogger(d.logger)), d.entrySettings(vm))
	if err != nil {
		return nil, err
	}
	schedServer, err := sched.New(common.New("oleander-sched", common.WithLogger(d.logger)), d.schedSettings(vm))
	if err != nil {
		return nil, err
	}
	vm.entry, vm.sched = entryDaemon{entryServer}, schedServer
	return vm, nil
}

func (d *Demo) entrySettings(vm *ownVM) entry.Settings {
	s := entry.DefaultSettings()
	s.ID, s.Region, s.Domain, s.Key = string(vm.id), string(d.layout.Region), string(vm.domain), sharedKey
	s.Listen = vm.address(vm.ports.callers)
	s.PeerListen = vm.address(vm.ports.entryPeers)
	s.OperatorListen = vm.address(vm.ports.entryOperators)
	s.LogService, s.VMList = d.logURL, d.vmsURL
	s.DrainDelay = drainDelay
	return s
}

func (d *Demo) schedSettings(vm *ownVM) sched.Settings {
	s := sched.DefaultSettings()
	s.ID, s.Region, s.Domain, s.Key = string(vm.id), string(d.layout.Region), string(vm.domain), sharedKey
	s.Listen = vm.address(vm.ports.jobs)
	s.PeerListen = vm.address(vm.ports.schedPeers)
	s.OperatorListen = vm.address(vm.ports.schedOperators)
	s.LogService, s.VMList = d.logURL, d.vmsURL
	return s
}
