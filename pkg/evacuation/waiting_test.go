package evacuation

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against tasks that wait for a failure domain without a word to operators, and against a word about tasks that wait for
// another reason.
func TestWaitsForDomain(t *testing.T) {
	size := func(cpu oleanderline.Millicores) oleanderline.Size { return oleanderline.Size{CPU: cpu, Memory: 1} }
	in := Worker{InService: true, Capacity: oleanderline.Size{CPU: 4000, Memory: 100}}
	out := Worker{Capacity: oleanderline.Size{CPU: 8000, Memory: 100}}
	type scenario struct {
		name    string
		step    oleanderline.Step
		workers []Worker
		want    bool
	}
	for _, s := range []scenario{
		{"fits in service", oleanderline.Step{Count: 9, Size: size(4000)}, []Worker{in, out}, false},
		{"too large for those in service", oleanderline.Step{Count: 1, Size: size(5000)}, []Worker{in, out}, true},
		{"too large for all", oleanderline.Step{Count: 1, Size: size(9000)}, []Worker{in, out}, false},
		{"only out of service", oleanderline.Step{Count: 1, Size: size(1000)}, []Worker{out}, true},
		{"no worker", oleanderline.Step{Count: 1, Size: size(1000)}, nil, false},
		{"gang fits in service", oleanderline.Step{Count: 4, Size: size(1000), Gang: true}, []Worker{in, out}, false},
		{"gang needs both", oleanderline.Step{Count: 6, Size: size(1000), Gang: true}, []Worker{in, out}, true},
		{"gang is too large", oleanderline.Step{Count: 13, Size: size(1000), Gang: true}, []Worker{in, out}, false},
		{"gang with few tasks on a worker", oleanderline.Step{Count: 3, Size: size(1000), Gang: true, MaxPerWorker: 2}, []Worker{in, out}, true},
		{"best effort needs no CPU", oleanderline.Step{Count: 1, Size: size(5000), BestEffort: true}, []Worker{in, out}, false},
	} {
		t.Run(s.name, func(t *testing.T) {
			require.Equal(t, s.want, WaitsForDomain(&s.step, slices.Values(s.workers)))
		})
	}
}
