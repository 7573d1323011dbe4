package breaker

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against a step that is held back because of one bad worker or of a few failures beside successes, and against one that is not
// held back although all its runs fail.
func TestOpen(t *testing.T) {
	const success = oleanderline.WorkerID("")
	for _, s := range []struct {
		name string
		ends []oleanderline.WorkerID // workers of failed runs; success for a run that has completed its task
		want bool
	}{
		{"nothing has ended", nil, false},
		{"failures on too few workers", []oleanderline.WorkerID{"a", "b"}, false},
		{"a worker on which every run fails", []oleanderline.WorkerID{"a", "a", "a", "a", "a"}, false},
		{"failures on several workers", []oleanderline.WorkerID{"a", "b", "a", "c"}, true},
		{"a success before the failures", []oleanderline.WorkerID{success, "a", "b", "c", "d"}, false},
		{"a success among the failures", []oleanderline.WorkerID{"a", "b", "c", success, "d", "e", "f"}, false},
	} {
		t.Run(s.name, func(t *testing.T) {
			var b Breaker
			for _, worker := range s.ends {
				if worker == success {
					b.Succeeded()
					continue
				}
				b.Failed(worker)
			}
			require.Equal(t, s.want, b.Open())
		})
	}
}

// Guards against a step that can never show that it is sound, and against one whose probes take much room.
func TestProbesAreFew(t *testing.T) {
	var b Breaker
	require.True(t, b.AllowsProbe(0))
	require.False(t, b.AllowsProbe(maxProbes))
}
