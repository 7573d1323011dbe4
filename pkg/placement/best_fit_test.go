package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/placement"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

var vmSize = oleanderline.Size{CPU: 16_000, Memory: 60_000}

// candidates returns empty workers in 4 failure domains with racks of 6. Every third worker has 4 accelerators.
func candidates(n int) []placement.Candidate {
	list := make([]placement.Candidate, n)
	for i := range list {
		size := vmSize
		if i%3 == 0 {
			size.Accelerators = 4
		}
		list[i] = placement.Candidate{
			Worker: oleanderline.WorkerID(fmt.Sprint(i)), Domain: oleanderline.DomainID(fmt.Sprint(i % 4)),
			Rack: oleanderline.RackID(fmt.Sprint(i / 24)), Capacity: size, Free: size,
		}
	}
	return list
}

// fill places tasks until no worker has room, and returns the number of placed tasks.
func fill(f placement.BestFit, need placement.Need, list []placement.Candidate) int {
	for n := 0; ; n++ {
		i, ok := f.Choose(need, list)
		if !ok {
			return n
		}
		list[i].Take(&need)
	}
}

// Guards against tasks that need no accelerators and occupy workers that have some.
func TestAcceleratorsAreKept(t *testing.T) {
	const tasks = 20
	need := placement.Need{Size: oleanderline.Size{CPU: 4000, Memory: 4000}, Kind: oleanderline.KindBatch}
	onAccelerators := func(f placement.BestFit) (n int) {
		list := candidates(9)
		list[0].Free.CPU -= 8000 // a tighter fit than the other workers
		for range tasks {
			i, ok := f.Choose(need, list)
			require.True(t, ok)
			list[i].Take(&need)
			if list[i].Capacity.Accelerators > 0 {
				n++
			}
		}
		return n
	}
	require.Zero(t, onAccelerators(placement.BestFit{}))
	require.NotZero(t, onAccelerators(placement.BestFit{Disabled: placement.Disabled{Accelerators: true}}))
}

// Guards against instances of a latency-critical job that share a failure domain or a rack although others are free.
func TestCriticalInstancesAreSpread(t *testing.T) {
	maxPerDomainAndRack := func(f placement.BestFit) (domain, rack int) {
		list := candidates(48)
		need := placement.Need{Size: oleanderline.Size{CPU: 1000, Memory: 1000}, Kind: oleanderline.KindCritical, Spread: placement.NewSpread()}
		domains, racks := map[oleanderline.DomainID]int{}, map[string]int{}
		for range 8 {
			i, ok := f.Choose(need, list)
			require.True(t, ok)
			list[i].Take(&need)
			domains[list[i].Domain]++
			racks[string(list[i].Domain)+"/"+string(list[i].Rack)]++
			domain, rack = max(domain, domains[list[i].Domain]), max(rack, racks[string(list[i].Domain)+"/"+string(list[i].Rack)])
		}
		return domain, rack
	}
	domain, rack := maxPerDomainAndRack(placement.BestFit{})
	require.Equal(t, 2, domain)
	require.Equal(t, 1, rack)
	_, rack = maxPerDomainAndRack(placement.BestFit{Disabled: placement.Disabled{Spread: true}})
	require.Greater(t, rack, 1)
}

// Guards against batch tasks that use resources reserved by a hold rule, against latency-critical tasks that cannot use
// them, and against a hold rule that applies outside its time window.
func TestHolds(t *testing.T) {
	set, report := rules.Parse("hold cpu=25% domain=1 until=2026-12-04T07:00Z # gala\n")
	require.Empty(t, report.Errors)
	vm := oleanderline.VM{ID: "1", Domain: "1", Size: vmSize}
	before := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	scenarios := []struct {
		name string
		kind oleanderline.TaskKind
		now  time.Time
		want int
	}{
		{"batch", oleanderline.KindBatch, before, 12},
		{"critical", oleanderline.KindCritical, before, 16},
		{"after the window", oleanderline.KindBatch, before.Add(2 * time.Hour), 16},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			c := placement.Candidate{Worker: "1", Domain: "1", Capacity: vmSize, Free: vmSize}
			reserved, applies := placement.ReservedByHolds(set, vm, s.now)
			c.BatchFree, c.HasHold = vmSize.Sub(reserved), applies
			need := placement.Need{Size: oleanderline.Size{CPU: 1000, Memory: 1000}, Kind: s.kind}
			require.Equal(t, s.want, fill(placement.BestFit{}, need, []placement.Candidate{c}))
		})
	}
}

// Guards against a placement that exceeds the free resources, and against a task that is not placed although it fits on
// some worker.
func TestChoiceFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := candidates(rapid.IntRange(0, 12).Draw(t, "workers"))
		for range rapid.IntRange(1, 60).Draw(t, "tasks") {
			need := placement.Need{Size: oleanderline.Size{
				CPU: oleanderline.Millicores(rapid.IntRange(1, 17).Draw(t, "cpu") * 1000), Memory: 1000,
				Accelerators: oleanderline.Accelerators(rapid.IntRange(0, 5).Draw(t, "acc")),
			}, Kind: rapid.SampledFrom([]oleanderline.TaskKind{oleanderline.KindBatch, oleanderline.KindCritical}).Draw(t, "kind")}
			i, ok := placement.BestFit{}.Choose(need, list)
			fits := false
			for n := range list {
				fits = fits || need.Size.Fits(list[n].Free)
			}
			require.Equal(t, fits, ok)
			if ok {
				list[i].Take(&need)
				require.True(t, oleanderline.Size{}.Fits(list[i].Free), "worker %d has %s", i, list[i].Free)
			}
		}
	})
}
