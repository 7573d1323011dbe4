// Package placement chooses the worker for a task from committed amounts. It never looks at lagging usage.
package placement

import "github.com/oleanderline/oleanderline"

// Need is what a task requires of a worker.
type Need struct {
	Size oleanderline.Size
	Kind oleanderline.TaskKind
	Team oleanderline.TeamID
	Job  oleanderline.JobID
}

// Candidate is a worker that accepts work.
type Candidate struct {
	Worker   oleanderline.WorkerID
	Domain   oleanderline.DomainID
	Rack     oleanderline.RackID
	Capacity oleanderline.Size
	Free     oleanderline.Size // capacity less the committed amounts
}

// Chooser picks a worker whose free amounts cover the need.
type Chooser interface {
	// Choose returns the index of the chosen candidate, or false if none fits.
	Choose(need Need, workers []Candidate) (int, bool)
}

// BestFit picks the worker that is left with the least, so that large free amounts stay for large tasks.
type BestFit struct{}

// Choose implements Chooser.
func (BestFit) Choose(need Need, workers []Candidate) (int, bool) {
	best, bestLeft := -1, 0.0
	for i := range workers {
		if !need.Size.Fits(workers[i].Free) {
			continue
		}
		if left := leftover(need.Size, &workers[i]); best < 0 || left < bestLeft {
			best, bestLeft = i, left
		}
	}
	return best, best >= 0
}

// leftover is the sum of the shares of each resource that stay free. Accelerators weigh most, so that a task without
// need of them goes to a worker with accelerators only when no other has room.
func leftover(size oleanderline.Size, c *Candidate) float64 {
	const acceleratorWeight = 4
	left := c.Free.Sub(size)
	return share(int64(left.CPU), int64(c.Capacity.CPU)) +
		share(int64(left.Memory), int64(c.Capacity.Memory)) +
		acceleratorWeight*share(int64(left.Accelerators), int64(c.Capacity.Accelerators))
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
