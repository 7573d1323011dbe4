package oleanderline

import "fmt"

// Millicores measures processor capacity in thousandths of a core.
type Millicores int64

// Megabytes measures memory in units of 1,000,000 bytes.
type Megabytes int64

// Accelerators counts whole accelerators.
type Accelerators int64

// ByteCount is a number of bytes.
type ByteCount int64

// Size is an amount of each resource: what a VM offers, or what a task requests.
type Size struct {
	CPU          Millicores   `json:"cpu"`
	Memory       Megabytes    `json:"mem"`
	Accelerators Accelerators `json:"acc,omitempty"`
}

// Add returns the sum of s and other.
func (s Size) Add(other Size) Size {
	return Size{
		CPU:          s.CPU + other.CPU,
		Memory:       s.Memory + other.Memory,
		Accelerators: s.Accelerators + other.Accelerators,
	}
}

// Sub returns s minus other. The result may be negative.
func (s Size) Sub(other Size) Size {
	return Size{
		CPU:          s.CPU - other.CPU,
		Memory:       s.Memory - other.Memory,
		Accelerators: s.Accelerators - other.Accelerators,
	}
}

// Fits reports whether s is within capacity in every resource.
func (s Size) Fits(capacity Size) bool {
	return s.CPU <= capacity.CPU && s.Memory <= capacity.Memory && s.Accelerators <= capacity.Accelerators
}

// inRange reports whether no amount is negative or above maxAmount.
func (s Size) inRange() bool {
	limit := Size{CPU: maxAmount, Memory: maxAmount, Accelerators: maxAmount}
	return Size{}.Fits(s) && s.Fits(limit)
}

// String formats the size for logs, such as "2000m 4096MB 1acc".
func (s Size) String() string {
	return fmt.Sprintf("%dm %dMB %dacc", s.CPU, s.Memory, s.Accelerators)
}
