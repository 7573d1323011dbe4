package demo

import (
	"sync"

	"github.com/oleanderline/oleanderline"
)

// balancer stands for the platform's balancer: it deals requests out over the own VMs that take part.
type balancer struct {
	mu   sync.Mutex
	next int
	vms  []target
}

// target is one entry as callers reach it.
type target struct {
	id  oleanderline.VMID
	url string
}

func newBalancer(targets []target) *balancer { return &balancer{vms: targets} }

// pick returns n targets in turn. Neighbouring ones are on different VMs while there is more than one VM.
func (b *balancer) pick(n int) []target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var picked []target
	for range n {
		picked = append(picked, b.vms[b.next%len(b.vms)])
		b.next++
	}
	return picked
}

// remove takes a VM out, as a balancer does when its health checks fail. The last one stays.
func (b *balancer) remove(id oleanderline.VMID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var kept []target
	for _, t := range b.vms {
		if t.id != id {
			kept = append(kept, t)
		}
	}
	if len(kept) > 0 {
		b.vms = kept
	}
}
