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
	Free     oleanderline.Millicores // not committed to any task
	Leftover oleanderline.Millicores // what further best-effort tasks may use
	Serving  map[pairs.Image]Serving
}

// Serving describes the long-running tasks of one image on a worker.
type Serving struct {
	Count   int
	CPU     oleanderline.Millicores // of all of them
	Largest oleanderline.Millicores // of one of them
	Movable bool                    // all of them may be moved
	Leaving bool                    // they are being moved off the worker
}

// Move takes all long-running tasks of an image off a worker.
type Move struct {
	Worker oleanderline.WorkerID
	Image  pairs.Image
}

// Choose returns at most limit moves, the most useful first. A move is useful if the worker then suits more of the demand, by the
// CPU that this gives to best-effort tasks for each task that moves. The moved tasks need room on workers that suit no less of
// the demand with their image. harmful reports whether a best-effort image interferes with a serving one.
func Choose(workers []Worker, demand Demand, harmful func(serving, bestEffort pairs.Image) bool, limit int) []Move {
	c := chooser{workers: workers, harmful: harmful}
	c.demand = c.unmet(demand)
	if len(c.demand) == 0 || limit <= 0 {
		return nil
	}
	candidates := c.candidates()
	room := map[pairs.Image]oleanderline.Millicores{}
	var moves []Move
	chosen := map[oleanderline.WorkerID]bool{}
	for _, candidate := range candidates {
		image := candidate.move.Image
		if chosen[candidate.move.Worker] {
			continue
		}
		if _, known := room[image]; !known {
			room[image] = c.room(image)
		}
		serving := candidate.worker.Serving[image]
		own := c.roomOn(candidate.worker, image)
		if room[image]-own < serving.CPU {
			continue
		}
		room[image] -= own + serving.CPU
		chosen[candidate.move.Worker] = true
		moves = append(moves, candidate.move)
		if len(moves) == limit {
			break
		}
	}
	return moves
}

type chooser struct {
	workers []Worker
	demand  Demand
	harmful func(serving, bestEffort pairs.Image) bool
}

type candidate struct {
	move   Move
	worker *Worker
	gain   float64
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
				list = append(list, candidate{move: Move{Worker: w.ID, Image: image}, worker: w, gain: gain})
			}
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(-cmp.Compare(a.gain, b.gain), cmp.Compare(a.move.Worker, b.move.Worker), cmp.Compare(a.move.Image, b.move.Image))
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

// room returns the CPU that all workers have for tasks of an image.
func (c *chooser) room(image pairs.Image) oleanderline.Millicores {
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
		return w.Free / serving.Largest * serving.Largest
	}
	for bestEffort := range c.demand {
		if c.harmful(image, bestEffort) && c.suits(w, bestEffort, "") {
			return 0
		}
	}
	return w.Free
}
