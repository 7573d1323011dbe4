// Package health distinguishes bad workers from bad jobs. It quarantines a worker on which several jobs fail that succeed on
// other workers. A quarantined worker gets no task for a time, and then one task at a time as a probe, until enough probes
// succeed. The package reads no clock.
package health

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// Settings are the thresholds for quarantine. A strike against a worker is a job that failed there and succeeded on another
// worker.
type Settings struct {
	Strikes               int           // strikes from which a worker is quarantined
	Window                time.Duration // how long a strike counts
	FirstProbeDelay       time.Duration // delay of the first probe; doubles with each failed probe
	MaxProbeDelay         time.Duration // maximum delay of a probe
	Successes             int           // consecutive successful probes that end a quarantine
	WorkersPerQuarantined int           // at most one in so many workers is quarantined
	Disabled              bool          // disables quarantine; only for tests
}

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{
		Strikes: 3, Window: 10 * time.Minute, FirstProbeDelay: time.Minute, MaxProbeDelay: 30 * time.Minute, Successes: 2, WorkersPerQuarantined: 3,
	}
}

// Tracker tracks the health of the workers of one shard. It is not safe for concurrent use.
type Tracker struct {
	settings    Settings
	size        int // number of workers of the shard
	quarantined int // number of workers in quarantine
	workers     map[oleanderline.WorkerID]*worker
	jobs        map[oleanderline.JobID]*job
}

// worker holds the strikes against one worker, and its probes while it is quarantined.
type worker struct {
	strikes        map[oleanderline.JobID]time.Time
	quarantined    bool
	probeAt        time.Time // when the next probe may start
	failedProbes   int       // in this quarantine
	probeSuccesses int       // consecutive
}

// job holds the workers on which tasks of one job have failed and succeeded.
type job struct {
	failed    map[oleanderline.WorkerID]bool
	succeeded []oleanderline.WorkerID // the first two, so that for any worker one of them is another worker
}

// New returns a tracker without strikes.
func New(settings Settings) *Tracker {
	return &Tracker{
		settings: settings,
		workers:  map[oleanderline.WorkerID]*worker{},
		jobs:     map[oleanderline.JobID]*job{},
	}
}

// SetSize sets the number of workers of the shard.
func (t *Tracker) SetSize(workers int) { t.size = workers }

// Quarantined returns the number of workers in quarantine.
func (t *Tracker) Quarantined() int { return t.quarantined }

// Healthy reports whether a worker is not quarantined, so that a failure there counts against the job.
func (t *Tracker) Healthy(id oleanderline.WorkerID) bool {
	if t.quarantined == 0 {
		return true
	}
	known := t.workers[id]
	return known == nil || !known.quarantined
}

// Accepts reports whether a worker that runs a number of tasks may get another one. A quarantined worker may get one task as a
// probe.
func (t *Tracker) Accepts(id oleanderline.WorkerID, tasks int, now time.Time) bool {
	if t.quarantined == 0 {
		return true
	}
	known := t.workers[id]
	return known == nil || !known.quarantined || (tasks == 0 && !now.Before(known.probeAt))
}

// Failed records that a task of a job has failed on a worker.
func (t *Tracker) Failed(id oleanderline.WorkerID, jobID oleanderline.JobID, at time.Time) {
	if known := t.workers[id]; known != nil && known.quarantined {
		if at.Before(known.probeAt) {
			return // the task started before the quarantine and is no probe
		}
		known.probeSuccesses = 0
		known.failedProbes++
		known.probeAt = at.Add(t.probeDelay(known.failedProbes))
		return
	}
	j := t.job(jobID)
	j.failed[id] = true
	if j.succeededElsewhere(id) {
		t.addStrike(id, jobID, at)
	}
}

// Done records that a task of a job has succeeded on a worker.
func (t *Tracker) Done(id oleanderline.WorkerID, jobID oleanderline.JobID, at time.Time) {
	t.recordSuccess(id, at)
	j := t.job(jobID)
	if len(j.succeeded) < 2 && !j.succeededOn(id) {
		j.succeeded = append(j.succeeded, id)
	}
	for other := range j.failed {
		if other != id {
			t.addStrike(other, jobID, at)
		}
	}
}

// Forget removes a job. The strikes that it has caused remain.
func (t *Tracker) Forget(jobID oleanderline.JobID) { delete(t.jobs, jobID) }

// recordSuccess removes the oldest strike of a worker, so that jobs that fail occasionally do not lead to the quarantine of
// a good worker. On a quarantined worker it records a successful probe.
func (t *Tracker) recordSuccess(id oleanderline.WorkerID, at time.Time) {
	known := t.workers[id]
	if known == nil {
		return
	}
	if known.quarantined {
		if at.Before(known.probeAt) {
			return
		}
		known.probeSuccesses++
		if known.probeSuccesses >= t.settings.Successes {
			delete(t.workers, id)
			t.quarantined--
		}
		return
	}
	delete(known.strikes, known.oldestStrike())
}

// oldestStrike returns the job of the oldest strike.
func (w *worker) oldestStrike() oleanderline.JobID {
	var oldest oleanderline.JobID
	var oldestAt time.Time
	for jobID, at := range w.strikes {
		if oldest == "" || at.Before(oldestAt) || (at.Equal(oldestAt) && jobID < oldest) {
			oldest, oldestAt = jobID, at
		}
	}
	return oldest
}

// addStrike adds a strike against a worker, and quarantines the worker if it has too many and the limit of quarantined workers
// permits.
func (t *Tracker) addStrike(id oleanderline.WorkerID, jobID oleanderline.JobID, at time.Time) {
	if t.settings.Disabled {
		return
	}
	known := t.workers[id]
	if known == nil {
		known = &worker{strikes: map[oleanderline.JobID]time.Time{}}
		t.workers[id] = known
	}
	if _, counted := known.strikes[jobID]; known.quarantined || counted {
		return
	}
	known.strikes[jobID] = at
	for other, struckAt := range known.strikes {
		if at.Sub(struckAt) > t.settings.Window {
			delete(known.strikes, other)
		}
	}
	if len(known.strikes) >= t.settings.Strikes && (t.quarantined+1)*t.settings.WorkersPerQuarantined <= t.size {
		known.quarantined, known.probeAt = true, at.Add(t.settings.FirstProbeDelay)
		t.quarantined++
	}
}

// probeDelay returns the delay of the next probe after a number of failed probes.
func (t *Tracker) probeDelay(failedProbes int) time.Duration {
	return min(t.settings.FirstProbeDelay<<min(failedProbes, 10), t.settings.MaxProbeDelay)
}

func (t *Tracker) job(jobID oleanderline.JobID) *job {
	j := t.jobs[jobID]
	if j == nil {
		j = &job{failed: map[oleanderline.WorkerID]bool{}}
		t.jobs[jobID] = j
	}
	return j
}

func (j *job) succeededOn(id oleanderline.WorkerID) bool {
	for _, other := range j.succeeded {
		if other == id {
			return true
		}
	}
	return false
}

func (j *job) succeededElsewhere(id oleanderline.WorkerID) bool {
	for _, other := range j.succeeded {
		if other != id {
			return true
		}
	}
	return false
}
