// Package consolidate decides which long-running tasks move to other workers, so that starved best-effort tasks find workers on
// which they interfere with no task. It answers the load in which long-running tasks come and go and leave several images on
// nearly every worker: each image that a worker serves excludes the best-effort tasks that interfere with it, so that most of
// the capacity is free but few best-effort tasks may use it.
package consolidate

import (
	"cmp"
	"slices"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/pairs"
)

// Demand is the CPU that the starved best-effort tasks of each image need.
type Demand map[pairs.Image]oleanderline.Millicores

// Worker is a worker that may take tasks.
type Worker struct {
	ID       oleanderline.WorkerID
	Free     oleanderline.Size       // not committed to any task
	Leftover oleanderline.Millicores // what further best-effort tasks may use
	Serving  map[pairs.Image]Serving
}

// Serving describes the long-running tasks of one image on a worker.
type Serving struct {
	Count   int
	Size    oleanderline.Size       // of all of them
	Largest oleanderline.Millicores // of one of them
	Movable bool                    // all of them may be moved
	Leaving bool                    // they are being moved off the worker
	Bound   bool                    // some of them need a label, or are limited in number on a worker
}

// Move takes all long-running tasks of an image off a worker.
type Move struct {
	Worker oleanderline.WorkerID
	Image  pairs.Image
	// Exchange is whether the tasks take the room that another move of the same decision frees, so that none is free yet.
	Exchange bool
}

// maxExchangeSearches is the number of moves without room, for each permitted move, for which an exchange is looked for. It bounds
// the time of one decision.
const maxExchangeSearches = 3

// Choose returns moves off at most limit workers, the most useful first. A move is useful if the worker then suits more of the
// demand, by the CPU that this gives to best-effort tasks for each task that moves. The moved tasks need room on workers that
// suit no less of the demand with their image. Without such room, two workers exchange images that both of them serve. harmful
// reports whether a best-effort image interferes with a serving one.
func Choose(workers []Worker, demand Demand, harmful func(serving, bestEffort pairs.Image) bool, limit int) []Move {
	c := chooser{workers: workers, harmful: harmful, room: map[pairs.Image]oleanderline.Millicores{}, chosen: map[oleanderline.WorkerID]bool{}}
	c.demand = c.unmet(demand)
	if len(c.demand) == 0 || limit <= 0 {
		return nil
	}
	searches := maxExchangeSearches * limit
	for _, candidate := range c.candidates() {
		if len(c.chosen) >= limit {
			break
		}
		if c.chosen[candidate.worker.ID] || c.move(candidate) {
			continue
		}
		if searches > 0 && len(c.chosen)+2 <= limit {
			searches--
			c.exchange(candidate)
		}
	}
	return c.moves
}

type chooser struct {
	workers []Worker
	demand  Demand
	harmful func(serving, bestEffort pairs.Image) bool
	room    map[pairs.Image]oleanderline.Millicores // left for tasks of an image, as far as it is known
	chosen  map[oleanderline.WorkerID]bool          // workers with a move
	moves   []Move
}

// candidate is a useful move of an image off a worker.
type candidate struct {
	worker *Worker
	image  pairs.Image
	gain   float64
}

// move chooses a candidate if other workers have room for its tasks.
func (c *chooser) move(candidate candidate) bool {
	if _, known := c.room[candidate.image]; !known {
		c.room[candidate.image] = c.roomFor(candidate.image)
	}
	need := candidate.worker.Serving[candidate.image].Size.CPU + c.roomOn(candidate.worker, candidate.image)
	if c.room[candidate.image] < need {
		return false
	}
	c.room[candidate.image] -= need
	c.choose(candidate.worker, candidate.image, false)
	return true
}

// exchange chooses a candidate together with a move that frees room for its tasks, off a worker that serves its image already, and
// for whose tasks it frees room in turn. Neither worker then serves an image that it did not serve before.
func (c *chooser) exchange(candidate candidate) {
	from, image := candidate.worker, candidate.image
	if from.Serving[image].Bound {
		return
	}
	for i := range c.workers {
		partner := &c.workers[i]
		if partner == from || c.chosen[partner.ID] || !partner.canKeep(image) {
			continue
		}
		for other, serving := range partner.Serving {
			if other == image || serving.Leaving || serving.Bound || !serving.Movable || !from.canKeep(other) {
				continue
			}
			if fitsAfterExchange(from, image, other, partner) && fitsAfterExchange(partner, other, image, from) {
				c.choose(from, image, true)
				c.choose(partner, other, true)
				return
			}
		}
	}
}

// canKeep reports whether a worker serves an image that is not leaving it.
func (w *Worker) canKeep(image pairs.Image) bool {
	serving, present := w.Serving[image]
	return present && !serving.Leaving
}

// fitsAfterExchange reports whether the tasks of an image of a partner fit on a worker once the tasks of another image have left it.
func fitsAfterExchange(w *Worker, leaving, arriving pairs.Image, partner *Worker) bool {
	return partner.Serving[arriving].Size.Fits(w.Free.Add(w.Serving[leaving].Size))
}

func (c *chooser) choose(w *Worker, image pairs.Image, exchange bool) {
	c.chosen[w.ID] = true
	c.moves = append(c.moves, Move{Worker: w.ID, Image: image, Exchange: exchange})
}

// unmet returns the demand of the images for which the workers that suit them have too little leftover CPU.
func (c *chooser) unmet(demand Demand) Demand {
	unmet := Demand{}
	for image, cpu := range demand {
		for i := range c.workers {
			if c.suits(&c.workers[i], image, "") {
				cpu -= max(0, c.workers[i].Leftover)
			}
		}
		if cpu > 0 {
			unmet[image] = demand[image]
		}
	}
	return unmet
}

// suits reports whether a best-effort image interferes with no image of a worker, apart from the image without.
func (c *chooser) suits(w *Worker, bestEffort, without pairs.Image) bool {
	for serving := range w.Serving {
		if serving != without && c.harmful(serving, bestEffort) {
			return false
		}
	}
	return true
}

// candidates returns the moves with a gain, the largest gain first.
func (c *chooser) candidates() []candidate {
	var list []candidate
	for i := range c.workers {
		w := &c.workers[i]
		for image, serving := range w.Serving {
			if serving.Leaving || !serving.Movable {
				continue
			}
			gain := float64(c.gained(w, image)) * float64(w.Leftover) / float64(serving.Count)
			if gain > 0 {
				list = append(list, candidate{worker: w, image: image, gain: gain})
			}
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(-cmp.Compare(a.gain, b.gain), cmp.Compare(a.worker.ID, b.worker.ID), cmp.Compare(a.image, b.image))
	})
	return list
}

// gained returns the demand that a worker suits only without an image.
func (c *chooser) gained(w *Worker, image pairs.Image) oleanderline.Millicores {
	var sum oleanderline.Millicores
	for bestEffort, cpu := range c.demand {
		if c.harmful(image, bestEffort) && c.suits(w, bestEffort, image) {
			sum += cpu
		}
	}
	return sum
}

// roomFor returns the CPU that all workers have for tasks of an image.
func (c *chooser) roomFor(image pairs.Image) oleanderline.Millicores {
	var sum oleanderline.Millicores
	for i := range c.workers {
		sum += c.roomOn(&c.workers[i], image)
	}
	return sum
}

// roomOn returns the CPU that a worker has for tasks of an image: none if it would then suit less of the demand.
func (c *chooser) roomOn(w *Worker, image pairs.Image) oleanderline.Millicores {
	serving, present := w.Serving[image]
	if serving.Leaving {
		return 0
	}
	if present {
		return w.Free.CPU / serving.Largest * serving.Largest
	}
	for bestEffort := range c.demand {
		if c.harmful(image, bestEffort) && c.suits(w, bestEffort, "") {
			return 0
		}
	}
	return w.Free.CPU
}
