package demo

import "fmt"

// remain prints the addresses and some commands to try, and waits until the demo is told to end.
func (d *Demo) remain() {
	d.say("log service %s, VM list %s, fault switches %s", d.logURL, d.vmsURL, d.control)
	for _, vm := range d.alive() {
		d.say("%s: callers %s, jobs %s, operators %s (entry) and %s (scheduler)", vm.id, vm.url(vm.ports.callers),
			vm.url(vm.ports.jobs), vm.address(vm.ports.entryOperators), vm.address(vm.ports.schedOperators))
	}
	vm := d.alive()[0]
	_, _ = fmt.Fprintf(d.out, `
Commands to try; end with ctrl-C:

  curl -i -H 'Oleander-Request: mine-1' '%s/s/%s/fittings?size=20'
  curl -i -H 'Idempotency-Key: mine-1' -d '{"team":"routes","count":4,"cmd":"sleep 5s","size":{"cpu":1000,"mem":1000}}' %s/jobs
  curl -X POST '%s/fault?target=log&name=down&value=true'
`, vm.url(vm.ports.callers), d.layout.Service, vm.url(vm.ports.jobs), d.control)
	<-d.stay.Done()
}
