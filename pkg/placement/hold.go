package placement

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Held returns what the holds in force keep free of batch work on a worker, and whether any of them applies. If several
// apply, the largest amount of each resource counts. The service and the team of a hold say for whom it is meant; batch
// work of every team stays out.
func Held(set *rules.Set, vm oleanderline.VM, now time.Time) (oleanderline.Size, bool) {
	var held oleanderline.Size
	applies := false
	for _, hold := range set.Holds {
		target := rules.Target{VM: hold.VM, Rack: hold.Rack, Domain: hold.Domain}
		if !hold.Active(now) || !target.Matches(rules.Target{VM: vm.ID, Rack: vm.Rack, Domain: vm.Domain}) {
			continue
		}
		amount := hold.Size
		if hold.Share > 0 {
			amount.CPU = oleanderline.Millicores(hold.Share * float64(vm.Size.CPU))
			amount.Memory = oleanderline.Megabytes(hold.Share * float64(vm.Size.Memory))
		}
		held.CPU, held.Memory = max(held.CPU, amount.CPU), max(held.Memory, amount.Memory)
		held.Accelerators = max(held.Accelerators, amount.Accelerators)
		applies = true
	}
	return held, applies
}
