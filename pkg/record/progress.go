package record

import (
	"cmp"
	"maps"
	"slices"

	"github.com/oleanderline/oleanderline"
)

// maxBitmaps is the number of steps up to which Progress keeps a bitmap for each. Processes of versions without Full read such a
// record as well; one with more steps they could not store in the end.
const maxBitmaps = 256

// Progress is the progress of a job as recorded by the leader. Its steps are numbered over all occurrences of the job.
type Progress struct {
	State   oleanderline.JobState `json:"s"`
	Started bool                  `json:"b,omitempty"`
	// Done holds a bitmap of finished tasks for each step.
	Done map[int][]byte `json:"d,omitempty"`
	// Full holds the steps of which all tasks are finished and that are not in Done, in ascending order. A job may have thousands of
	// occurrences, and a record with a bitmap of each is larger than the log accepts.
	Full []StepRange `json:"full,omitempty"`
	// FailedRuns holds the numbers of the failed runs of each task, by "step.index". They are needed because a worker reports an
	// end again to the next leader, which must not count it twice.
	FailedRuns map[string][]int `json:"f,omitempty"`
}

// StepRange is a range of steps: the first one and the one after the last.
type StepRange [2]int

// Clone returns a copy of the progress that shares no map or slice with it.
func (p *Progress) Clone() Progress {
	clone := *p
	clone.Done = maps.Clone(p.Done)
	for number, bitmap := range clone.Done {
		clone.Done[number] = slices.Clone(bitmap)
	}
	clone.Full = slices.Clone(p.Full)
	clone.FailedRuns = maps.Clone(p.FailedRuns)
	for key, runs := range clone.FailedRuns {
		clone.FailedRuns[key] = slices.Clone(runs)
	}
	return clone
}

// Empty reports whether no task is finished.
func (p *Progress) Empty() bool { return len(p.Done) == 0 && len(p.Full) == 0 }

// IsDone reports whether the index-th task of a step is finished.
func (p *Progress) IsDone(step, index int) bool {
	return Bit(p.Done[step], index) || p.isFull(step)
}

// SetDone records that the index-th task of a step with count tasks is finished.
func (p *Progress) SetDone(step, index, count int) {
	if p.isFull(step) {
		return
	}
	if p.Done == nil {
		p.Done = map[int][]byte{}
	}
	p.Done[step] = SetBit(p.Done[step], index, count)
	if len(p.Done) > maxBitmaps && allBits(p.Done[step], count) {
		delete(p.Done, step)
		p.addFull(step)
	}
}

// Compact moves all steps whose tasks are finished to Full if there are more than maxBitmaps bitmaps. count returns the number of tasks of a
// step. Records of versions without Full may have many.
func (p *Progress) Compact(count func(step int) int) {
	if len(p.Done) <= maxBitmaps {
		return
	}
	for _, step := range slices.Sorted(maps.Keys(p.Done)) {
		if allBits(p.Done[step], count(step)) {
			delete(p.Done, step)
			p.addFull(step)
		}
	}
}

// findFull returns the index of the first range that ends after a step, and whether that range holds the step.
func (p *Progress) findFull(step int) (int, bool) {
	i, _ := slices.BinarySearchFunc(p.Full, step, func(r StepRange, step int) int { return cmp.Compare(r[1], step+1) })
	return i, i < len(p.Full) && p.Full[i][0] <= step
}

func (p *Progress) isFull(step int) bool {
	_, full := p.findFull(step)
	return full
}

// addFull adds a step to Full and joins it with the ranges next to it.
func (p *Progress) addFull(step int) {
	i, full := p.findFull(step)
	if full {
		return
	}
	joinsLast := i > 0 && p.Full[i-1][1] == step
	joinsNext := i < len(p.Full) && p.Full[i][0] == step+1
	switch {
	case joinsLast && joinsNext:
		p.Full[i-1][1] = p.Full[i][1]
		p.Full = slices.Delete(p.Full, i, i+1)
	case joinsLast:
		p.Full[i-1][1]++
	case joinsNext:
		p.Full[i][0]--
	default:
		p.Full = slices.Insert(p.Full, i, StepRange{step, step + 1})
	}
}

// allBits reports whether the bits of all tasks of a step with count tasks are set.
func allBits(bitmap []byte, count int) bool {
	for index := range count {
		if !Bit(bitmap, index) {
			return false
		}
	}
	return true
}
