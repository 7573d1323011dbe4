package consolidate

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/pairs"
)

// cores returns a size with 4 GB for each core.
func cores(n int) oleanderline.Size {
	return oleanderline.Size{CPU: oleanderline.Millicores(1000 * n), Memory: oleanderline.Megabytes(4000 * n)}
}

// newWorker returns a worker of 10 cores with one long-running task of each image, of 2 cores each.
func newWorker(id oleanderline.WorkerID, images ...pairs.Image) Worker {
	w := Worker{ID: id, Free: cores(10), Serving: map[pairs.Image]Serving{}}
	for _, image := range images {
		serving := w.Serving[image]
		serving = Serving{Count: serving.Count + 1, Size: serving.Size.Add(cores(2)), Largest: 2000, Movable: true}
		w.Serving[image] = serving
		w.Free = w.Free.Sub(cores(2))
	}
	w.Leftover = w.Free.CPU
	return w
}

// mutualHarm says that the best-effort image "fx" interferes with the serving image "x" only.
func mutualHarm(serving, bestEffort pairs.Image) bool { return "f"+serving == bestEffort }

// Guards against starved best-effort tasks without a worker although moves would give them one, against moves that help none of
// them or have no room elsewhere, and against moves that take more workers from the starved tasks than they give.
func TestChoose(t *testing.T) {
	full := func(w Worker) Worker { w.Free = oleanderline.Size{}; return w }
	fixed := func(w Worker, image pairs.Image) Worker {
		serving := w.Serving[image]
		serving.Movable = false
		w.Serving[image] = serving
		return w
	}
	bound := func(w Worker, image pairs.Image) Worker {
		serving := w.Serving[image]
		serving.Bound = true
		w.Serving[image] = serving
		return w
	}
	lean := func(w Worker, image pairs.Image) Worker {
		serving := w.Serving[image]
		serving.Size.Memory = 0
		w.Serving[image] = serving
		return w
	}
	for _, s := range []struct {
		name    string
		workers []Worker
		demand  Demand
		limit   int
		want    []Move
	}{
		{
			"the image with fewer tasks leaves a mixed worker",
			[]Worker{full(newWorker("w1", "a", "a", "b")), newWorker("w2", "b")},
			Demand{"fb": 3000},
			3,
			[]Move{{Worker: "w1", Image: "b"}},
		},
		{
			"nothing moves without demand",
			[]Worker{newWorker("w1", "a", "b"), newWorker("w2", "b")},
			Demand{},
			3, nil,
		},
		{
			"nothing moves while another worker suits the demand",
			[]Worker{newWorker("w1", "a", "b"), newWorker("w2", "b"), newWorker("w3", "a")},
			Demand{"fb": 3000},
			3, nil,
		},
		{
			"nothing moves if the images that stay interfere as well",
			[]Worker{newWorker("w1", "a", "b"), newWorker("w2", "b")},
			Demand{"fc": 3000},
			3, nil,
		},
		{
			"nothing moves to workers that suit the demand",
			[]Worker{full(newWorker("w1", "b")), full(newWorker("w2", "c"))},
			Demand{"fb": 30000},
			3, nil,
		},
		{
			"nothing moves without room",
			[]Worker{full(newWorker("w1", "a", "b")), full(newWorker("w2", "b"))},
			Demand{"fb": 3000},
			3, nil,
		},
		{
			"tasks that may not move stay",
			[]Worker{fixed(newWorker("w1", "a", "b"), "b"), fixed(newWorker("w2", "b"), "b")},
			Demand{"fb": 3000},
			3, nil,
		},
		{
			"full workers exchange images",
			[]Worker{full(newWorker("w1", "a", "a", "b")), full(newWorker("w2", "a", "b", "b"))},
			Demand{"fb": 3000, "fa": 3000},
			2,
			[]Move{{Worker: "w1", Image: "b", Exchange: true}, {Worker: "w2", Image: "a", Exchange: true}},
		},
		{
			"an exchange counts as two",
			[]Worker{full(newWorker("w1", "a", "a", "b")), full(newWorker("w2", "a", "b", "b"))},
			Demand{"fb": 3000, "fa": 3000},
			1, nil,
		},
		{
			"an exchange needs tasks that fit",
			[]Worker{full(newWorker("w1", "a", "a", "b", "b", "b")), full(newWorker("w2", "a", "b", "b", "b", "b"))},
			Demand{"fa": 3000},
			2,
			nil,
		},
		{
			"an exchange needs the memory as well",
			[]Worker{lean(lean(full(newWorker("w1", "a", "a", "b")), "a"), "b"), full(newWorker("w2", "a", "b", "b"))},
			Demand{"fb": 3000, "fa": 3000},
			2, nil,
		},
		{
			"tasks that need certain workers are not exchanged",
			[]Worker{bound(bound(full(newWorker("w1", "a", "a", "b")), "a"), "b"), full(newWorker("w2", "a", "b", "b"))},
			Demand{"fb": 3000, "fa": 3000},
			2, nil,
		},
		{
			"the limit holds",
			[]Worker{newWorker("w1", "a", "b"), newWorker("w2", "a", "b"), newWorker("w3", "b")},
			Demand{"fb": 30000},
			1,
			[]Move{{Worker: "w3", Image: "b"}},
		},
		{
			"room is promised once",
			[]Worker{full(newWorker("w1", "a", "b")), full(newWorker("w2", "a", "b")), {
				ID: "w3", Free: cores(2), Serving: map[pairs.Image]Serving{"b": {Count: 4, Size: cores(8), Largest: 2000}},
			}},
			Demand{"fb": 30000},
			2,
			[]Move{{Worker: "w1", Image: "b"}},
		},
	} {
		t.Run(s.name, func(t *testing.T) {
			for i := range s.workers {
				s.workers[i].Leftover = max(s.workers[i].Free.CPU, 1000)
			}
			require.Equal(t, s.want, Choose(s.workers, s.demand, mutualHarm, s.limit))
		})
	}
}

// BenchmarkChoose measures one decision at the size to design for: 870 workers with three of ten images each, and a dozen starved
// best-effort images.
func BenchmarkChoose(b *testing.B) {
	var workers []Worker
	for i := range 870 {
		var images []pairs.Image
		for j := range 3 {
			images = append(images, pairs.Image(fmt.Sprintf("s%d", (i+j*j)%10)))
		}
		workers = append(workers, newWorker(oleanderline.WorkerID(fmt.Sprintf("w%d", i)), images...))
	}
	demand := Demand{}
	harmful := map[[2]pairs.Image]bool{}
	for f := range 12 {
		bestEffort := pairs.Image(fmt.Sprintf("f%d", f))
		demand[bestEffort] = 10000000
		for s := range 10 {
			harmful[[2]pairs.Image{pairs.Image(fmt.Sprintf("s%d", s)), bestEffort}] = (s+f)%2 == 0
		}
	}
	for b.Loop() {
		Choose(workers, demand, func(serving, bestEffort pairs.Image) bool { return harmful[[2]pairs.Image{serving, bestEffort}] }, 87)
	}
}
