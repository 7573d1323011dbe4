package consolidate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/pairs"
)

// newWorker returns a worker of 10 cores with one long-running task of each image, of 2 cores each.
func newWorker(id oleanderline.WorkerID, images ...pairs.Image) Worker {
	w := Worker{ID: id, Free: 10000, Serving: map[pairs.Image]Serving{}}
	for _, image := range images {
		serving := w.Serving[image]
		serving = Serving{Count: serving.Count + 1, CPU: serving.CPU + 2000, Largest: 2000, Movable: true}
		w.Serving[image] = serving
		w.Free -= 2000
	}
	w.Leftover = w.Free
	return w
}

// mutualHarm says that the best-effort image "fx" interferes with the serving image "x" only.
func mutualHarm(serving, bestEffort pairs.Image) bool { return "f"+serving == bestEffort }

// Guards against starved best-effort tasks without a worker although moves would give them one, against moves that help none of
// them or have no room elsewhere, and against moves that take more workers from the starved tasks than they give.
func TestChoose(t *testing.T) {
	full := func(w Worker) Worker { w.Free = 0; return w }
	fixed := func(w Worker, image pairs.Image) Worker {
		serving := w.Serving[image]
		serving.Movable = false
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
			"the limit holds",
			[]Worker{newWorker("w1", "a", "b"), newWorker("w2", "a", "b"), newWorker("w3", "b")},
			Demand{"fb": 30000},
			1,
			[]Move{{Worker: "w3", Image: "b"}},
		},
		{
			"room is promised once",
			[]Worker{full(newWorker("w1", "a", "b")), full(newWorker("w2", "a", "b")), {
				ID: "w3", Free: 2000, Serving: map[pairs.Image]Serving{"b": {Count: 4, CPU: 8000, Largest: 2000}},
			}},
			Demand{"fb": 30000},
			2,
			[]Move{{Worker: "w1", Image: "b"}},
		},
	} {
		t.Run(s.name, func(t *testing.T) {
			for i := range s.workers {
				s.workers[i].Leftover = max(s.workers[i].Free, 1000)
			}
			require.Equal(t, s.want, Choose(s.workers, s.demand, mutualHarm, s.limit))
		})
	}
}
