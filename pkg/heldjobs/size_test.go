package heldjobs

import (
	"strings"
	"testing"
	"unsafe"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against ordinary jobs that count, which could then be refused, and against large ones that do not.
func TestOnlyLargeJobsCount(t *testing.T) {
	const longestSpec = 4000
	for _, s := range []struct {
		name        string
		spec, steps int
		want        oleanderline.ByteCount
	}{
		{"longest spec, a hundred steps", longestSpec, 100, 0},
		{"spec as long as a body", 250_000, 1, 250_000 + stepSize},
		{"as many steps as a record holds", 10, 4000, 10 + 4000*stepSize},
	} {
		t.Run(s.name, func(t *testing.T) {
			job := oleanderline.Job{Payload: strings.Repeat("x", s.spec), Steps: make([]oleanderline.Step, s.steps)}
			require.Equal(t, s.want, Size(&job))
		})
	}
	require.LessOrEqual(t, int(unsafe.Sizeof(oleanderline.Step{})), stepSize)
}
