package speculation

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against second runs that take up more than their share of any resource.
func TestShareOfTheRoom(t *testing.T) {
	task := oleanderline.Size{CPU: 1000, Memory: 100}
	type scenario struct {
		name     string
		capacity oleanderline.Size
		size     oleanderline.Size
		want     int
	}
	for _, s := range []scenario{
		{"by CPU", oleanderline.Size{CPU: 200_000, Memory: 1_000_000}, task, 4},
		{"by memory", oleanderline.Size{CPU: 2_000_000, Memory: 10_000}, task, 2},
		{"no accelerators", oleanderline.Size{CPU: 2_000_000, Memory: 1_000_000}, oleanderline.Size{CPU: 1, Accelerators: 1}, 0},
		{"small pool", oleanderline.Size{CPU: 16_000, Memory: 60_000}, task, 0},
	} {
		t.Run(s.name, func(t *testing.T) {
			room := Room{Capacity: s.capacity}
			taken := 0
			for room.Take(s.size) {
				taken++
			}
			require.Equal(t, s.want, taken)
		})
	}
}
