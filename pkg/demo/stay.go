package demo

import (
	"fmt"
	"strings"
)

// waitForEnd prints the addresses and some commands to try, and waits until the context of WithStay ends.
func (d *Demo) waitForEnd() {
	d.printStep("log service %s, VM list %s, fault switches %s", d.logURL, d.vmsURL, d.controlURL)
	var operators []string
	for _, vm := range d.alive() {
		entry, sched := vm.address(vm.ports.entryOperators), vm.address(vm.ports.schedOperators)
		operators = append(operators, entry, sched)
		d.printStep("%s: callers %s, jobs %s, operators %s (entry) and %s (scheduler)", vm.id, vm.url(vm.ports.callers),
			vm.url(vm.ports.jobs), entry, sched)
	}
	vm := d.alive()[0]
	_, _ = fmt.Fprintf(d.out, `
Settings for oleanderctl and three commands to try; stop the demo with Ctrl-C:

  export OLEANDER_LOG_SERVICE=%s OLEANDER_KEY=%s OLEANDER_OPERATORS=%s

  curl -i -H 'Idempotency-Key: mine-1' -d 'size 44' '%s/s/%s/fittings?size=20'
  go run ./cmd/oleanderctl show > /tmp/rules.txt && echo 'drain vm=w-1  # kernel update, me' >> /tmp/rules.txt &&
    go run ./cmd/oleanderctl publish --by me --wait /tmp/rules.txt
  go run ./cmd/oleanderctl burn
`, d.logURL, sharedKey, strings.Join(operators, ","), vm.url(vm.ports.callers), d.layout.Service)
	<-d.stay.Done()
}
