package demo

import (
	"fmt"
	"strings"
)

// remain prints the addresses and some commands to try, and waits until the demo is told to end.
func (d *Demo) remain() {
	d.say("log service %s, VM list %s, fault switches %s", d.logURL, d.vmsURL, d.control)
	var operators []string
	for _, vm := range d.alive() {
		entry, sched := vm.address(vm.ports.entryOperators), vm.address(vm.ports.schedOperators)
		operators = append(operators, entry, sched)
		d.say("%s: callers %s, jobs %s, operators %s (entry) and %s (scheduler)", vm.id, vm.url(vm.ports.callers),
			vm.url(vm.ports.jobs), entry, sched)
	}
	vm := d.alive()[0]
	_, _ = fmt.Fprintf(d.out, `
Settings of oleanderctl, then three commands to try; end with ctrl-C:

  export OLEANDER_LOG_SERVICE=%s OLEANDER_KEY=%s OLEANDER_OPERATORS=%s

  curl -i -H 'Idempotency-Key: mine-1' -d 'size 44' '%s/s/%s/fittings?size=20'
  go run ./cmd/oleanderctl show > /tmp/rules.txt && echo 'drain vm=w-1  # kernel update, me' >> /tmp/rules.txt &&
    go run ./cmd/oleanderctl publish --by me --wait /tmp/rules.txt
  go run ./cmd/oleanderctl burn
`, d.logURL, key, strings.Join(operators, ","), vm.url(vm.ports.callers), d.layout.Service)
	<-d.stay.Done()
}
