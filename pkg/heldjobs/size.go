// Package heldjobs estimates how much memory large jobs take up in every process of a cell for as long as their records are kept. Small
// jobs do not count: the number of their tasks bounds them.
package heldjobs

import "github.com/oleanderline/oleanderline"

const (
	// smallJob is the size up to which a job does not count: the longest spec that clients may send, and about a hundred steps.
	smallJob = 32 << 10
	// stepSize is the size of a step in memory, with its strings.
	stepSize = 256
)

// Size returns how many bytes a job counts: its estimated size if it is large, and 0 otherwise.
func Size(job *oleanderline.Job) oleanderline.ByteCount {
	size := oleanderline.ByteCount(len(job.Payload) + stepSize*len(job.Steps))
	if size <= smallJob {
		return 0
	}
	return size
}
