package demo

import (
	"sync"

	"github.com/oleanderline/oleanderline"
)

// balancer fakes the platform's load balancer: it distributes requests round-robin over the daemons of the own VMs.
type balancer struct {
	mu      sync.Mutex
	next    int
	targets []target
}

// target is the address of a daemon of one own VM.
type target struct {
	id  oleanderline.VMID
	url string
}

func newBalancer(targets []target) *balancer { return &balancer{targets: targets} }

// pick returns the next n targets in round-robin order. Consecutive targets are on different VMs if there is more than one.
func (b *balancer) pick(n int) []target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var picked []target
	for range n {
		picked = append(picked, b.targets[b.next%len(b.targets)])
		b.next++
	}
	return picked
}

// remove removes the target on a VM, as a load balancer does when its health checks fail. The last target is kept.
func (b *balancer) remove(id oleanderline.VMID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var kept []target
	for _, t := range b.targets {
		if t.id != id {
			kept = append(kept, t)
		}
	}
	if len(kept) > 0 {
		b.targets = kept
	}
}
