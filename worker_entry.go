package oleanderline

import (
	"fmt"
	"strings"
	"time"
	"unicode"
)

// WorkerEntry is the entry of a worker in the platform's directory.
type WorkerEntry struct {
	ID          WorkerID
	Address     string
	Pool        PoolID
	Domain      DomainID
	Rack        RackID
	Labels      []string
	Capacity    Size
	Draining    bool
	Remaining   time.Duration // minimum remaining time while the worker drains
	Incarnation WorkerIncarnation
}

// maxAddress bounds the length of a worker's address, which is part of a record: a host name, a colon and a port.
const maxAddress = 253 + 6 // bytes

// maxWorkerID bounds the length of a worker's id, which is part of the keys of records. The log refuses a longer key, and with it all
// records of the same append.
const maxWorkerID = 200 // bytes

// Validate returns an error if the entry cannot be that of a worker. Other programs write to the directory as well.
func (e *WorkerEntry) Validate() error {
	switch {
	case e.ID == "" || len(e.ID) > maxWorkerID:
		return fmt.Errorf("id has %d bytes, want 1 to %d", len(e.ID), maxWorkerID)
	case strings.ContainsFunc(string(e.ID), func(r rune) bool { return r == unicode.ReplacementChar || !unicode.IsGraphic(r) }):
		return fmt.Errorf("id %q has characters that cannot be printed", e.ID)
	case len(e.Address) > maxAddress:
		return fmt.Errorf("address has %d bytes, want at most %d", len(e.Address), maxAddress)
	case !e.Capacity.inRange():
		return fmt.Errorf("capacity %s, want 0 to %d of each resource", e.Capacity, maxAmount)
	case e.Remaining < 0:
		return fmt.Errorf("remaining time %s must not be negative", e.Remaining)
	}
	return nil
}
