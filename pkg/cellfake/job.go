package cellfake

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/oleanderline/oleanderline"
)

const (
	copiedShare    = 4 // of the jobs one of so many allows speculative copies
	copiedEstimate = 200 * time.Millisecond
)

// copiedSize is the size of tasks that may have copies.
var copiedSize = oleanderline.Size{CPU: 100, Memory: 50}

// RandomJob returns a random job with 1 to 3 steps. Checker.Work derives the duration and the failures of its tasks from the
// payload.
func RandomJob(random *rand.Rand, queue oleanderline.Queue, id string) oleanderline.Job {
	number := random.IntN(1 << 30)
	job := oleanderline.Job{ID: oleanderline.JobID(id), Queue: queue.ID, Policy: queue, Payload: fmt.Sprintf("%d", number)}
	steps := 1 + random.IntN(3)
	for s := range steps {
		step := oleanderline.Step{
			Count: 1 + random.IntN(5), Estimate: time.Second,
			Size: oleanderline.Size{CPU: oleanderline.Millicores(500 + random.IntN(1000)), Memory: 500},
		}
		if s > 0 && random.IntN(4) > 0 {
			step.After = []int{random.IntN(s)}
		}
		if number%copiedShare == 0 {
			// Small, so that the share of the room for copies holds some; short, so that its tasks are soon late enough for a copy.
			step.Speculative, step.Estimate, step.Size = true, copiedEstimate, copiedSize
		}
		job.Steps = append(job.Steps, step)
	}
	if random.IntN(6) == 0 {
		for s := range job.Steps {
			job.Steps[s].LongRunning = true
			job.Steps[s].After = nil
		}
		job.Steps = job.Steps[:1] // long-running jobs must leave capacity for others
		job.Steps[0].Count = min(2, job.Steps[0].Count)
	}
	return job
}
