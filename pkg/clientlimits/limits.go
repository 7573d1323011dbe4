// Package clientlimits divides the memory and the descriptors of a VM between clients and the rest of a process.
package clientlimits

import (
	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/capacity"
)

// Shares of the memory of a VM. Together with the records, the runtime and the program itself they stay within the Go memory limit,
// which is 0.7 of the memory.
const (
	connectionShare = 0.25
	bodyShare       = 0.1
	smallJobShare   = 0.05
	largeJobShare   = 0.07
	headerShare     = 0.06
	heldShare       = 0.1
)

const (
	// connectionCost is what a connection takes up besides large bodies: 12 KiB for its goroutine and its buffers, 8 KiB for a small
	// body, and 16 KiB for bytes that the kernel holds unread.
	connectionCost = 36 << 10
	// headerFactor is how many times its size on the connection a header of short fields takes up: each field of 5 bytes needs an entry
	// of a map, a slice and strings of about 100 bytes.
	headerFactor = 20
)

// Limits for a VM without a limit on memory.
const (
	defaultBodies  = 64 << 20
	defaultJobs    = 32 << 20
	defaultHeaders = 1 << 20
)

// Limits bound what all clients together take up in a process.
type Limits struct {
	Connections int                    // 0 means no limit
	Bodies      oleanderline.ByteCount // of large bodies that are being received
	SmallJobs   oleanderline.ByteCount // of small jobs that are decoded and stored
	LargeJobs   oleanderline.ByteCount // of large jobs that are decoded and stored
	Headers     oleanderline.ByteCount // of headers that are being received, as sent
	HeldJobs    oleanderline.ByteCount // of large jobs whose records are kept; 0 means no limit
}

// For returns the limits for a VM. memory is its limit on the memory of a process; 0 means no limit.
func For(vm capacity.VM, memory oleanderline.ByteCount) Limits {
	limits := Limits{
		Connections: vm.MaxClientConnections(), Bodies: defaultBodies, SmallJobs: defaultJobs, LargeJobs: defaultJobs, Headers: defaultHeaders,
	}
	if memory <= 0 {
		return limits
	}
	share := func(part float64) oleanderline.ByteCount { return oleanderline.ByteCount(part * float64(memory)) }
	limits.Bodies, limits.Headers = share(bodyShare), share(headerShare)/headerFactor
	limits.SmallJobs, limits.LargeJobs, limits.HeldJobs = share(smallJobShare), share(largeJobShare), share(heldShare)
	if connections := max(1, int(share(connectionShare)/connectionCost)); limits.Connections == 0 || connections < limits.Connections {
		limits.Connections = connections
	}
	return limits
}
