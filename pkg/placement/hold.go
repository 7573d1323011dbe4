package placement

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// ReservedByHolds returns the resources of a worker that active hold rules reserve by excluding batch tasks, and whether any rule
// applies. If several rules apply, the largest amount of each resource counts. The service and the team of a hold rule
// only document for whom the resources are reserved: batch tasks of every team are excluded.
func ReservedByHolds(set *rules.Set, vm oleanderline.VM, now time.Time) (oleanderline.Size, bool) {
	var reserved oleanderline.Size
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
		reserved.CPU, reserved.Memory = max(reserved.CPU, amount.CPU), max(reserved.Memory, amount.Memory)
		reserved.Accelerators = max(reserved.Accelerators, amount.Accelerators)
		applies = true
	}
	return reserved, applies
}
