package oleanderline

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an odd entry in the directory of workers, left by another program, that is taken for a worker: its id makes the log
// refuse the records of the leader, or the sums over its capacity overflow.
func TestOddWorkerEntriesAreRefused(t *testing.T) {
	type scenario struct {
		name  string
		alter func(e *WorkerEntry)
		ok    bool
	}
	for _, s := range []scenario{
		{"plain", func(*WorkerEntry) {}, true},
		{"longest id", func(e *WorkerEntry) { e.ID = WorkerID(strings.Repeat("x", maxWorkerID)) }, true},
		{"id too long for a key of the log", func(e *WorkerEntry) { e.ID = WorkerID(strings.Repeat("x", 255)) }, false},
		{"no id", func(e *WorkerEntry) { e.ID = "" }, false},
		{"id with a line break", func(e *WorkerEntry) { e.ID = "a\r\nb" }, false},
		{"id that is not UTF-8", func(e *WorkerEntry) { e.ID = "a\xff" }, false},
		{"address too long for a record", func(e *WorkerEntry) { e.Address = strings.Repeat("x", 300_000) + ":80" }, false},
		{"capacity too large", func(e *WorkerEntry) { e.Capacity.CPU = math.MaxInt64 }, false},
		{"capacity negative", func(e *WorkerEntry) { e.Capacity.Memory = -1 }, false},
		{"remaining time negative", func(e *WorkerEntry) { e.Remaining = -1 }, false},
	} {
		t.Run(s.name, func(t *testing.T) {
			entry := WorkerEntry{ID: "i-2b1e7a4327", Capacity: Size{CPU: 32000, Memory: 125000, Accelerators: 8}}
			s.alter(&entry)
			if s.ok {
				require.NoError(t, entry.Validate())
				return
			}
			require.Error(t, entry.Validate())
		})
	}
}
