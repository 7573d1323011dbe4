// Package health tells bad workers from bad jobs. A worker on which several jobs fail that succeed elsewhere is
// quarantined: it gets no work for a time, then one task at a time until some succeed. The package has no clock.
package health

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// Settings are the bounds of quarantine.
type Settings struct {
	Strikes    int           // jobs that failed here and succeeded elsewhere, until a worker is quarantined
	Window     time.Duration // for which a strike counts
	ProbeFirst time.Duration // until the first probe; doubles with each that fails
	ProbeMost  time.Duration
	Successes  int  // probes in a row that must succeed
	Part       int  // at most one of so many workers is quarantined
	Without    bool // quarantines none; only for tests
}

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{
		Strikes: 3, Window: 10 * time.Minute, ProbeFirst: time.Minute, ProbeMost: 30 * time.Minute, Successes: 2, Part: 3,
	}
}

// Watch holds the evidence of one shard. It is not safe for concurrent use.
type Watch struct {
	settings    Settings
	size        int // workers of the shard
	quarantined int
	workers     map[oleanderline.WorkerID]*worker
	jobs        map[oleanderline.JobID]*job
}

// worker is the evidence against one worker.
type worker struct {
	strikes   map[oleanderline.JobID]time.Time
	bad       bool
	probeAt   time.Time
	probes    int // that failed
	successes int // of probes in a row
}

// job is where tasks of one job failed and succeeded.
type job struct {
	failed map[oleanderline.WorkerID]bool
	done   []oleanderline.WorkerID // the first two, so that one is always elsewhere
}

// New returns a watch without evidence.
func New(settings Settings) *Watch {
	return &Watch{
		settings: settings,
		workers:  map[oleanderline.WorkerID]*worker{},
		jobs:     map[oleanderline.JobID]*job{},
	}
}

// SetSize tells how many workers the shard has.
func (w *Watch) SetSize(workers int) { w.size = workers }

// Quarantined returns the number of workers in quarantine.
func (w *Watch) Quarantined() int { return w.quarantined }

// Good reports whether failures at a worker count against the job.
func (w *Watch) Good(id oleanderline.WorkerID) bool {
	if w.quarantined == 0 {
		return true
	}
	known := w.workers[id]
	return known == nil || !known.bad
}

// Accepts reports whether a worker may get a task while it has so many.
func (w *Watch) Accepts(id oleanderline.WorkerID, tasks int, now time.Time) bool {
	if w.quarantined == 0 {
		return true
	}
	known := w.workers[id]
	return known == nil || !known.bad || (tasks == 0 && !now.Before(known.probeAt))
}

// Failed enters a task that failed at a worker.
func (w *Watch) Failed(id oleanderline.WorkerID, name oleanderline.JobID, at time.Time) {
	if known := w.workers[id]; known != nil && known.bad {
		if at.Before(known.probeAt) {
			return // it began before the quarantine, and says nothing new
		}
		known.successes = 0
		known.probes++
		known.probeAt = at.Add(w.pause(known.probes))
		return
	}
	j := w.job(name)
	j.failed[id] = true
	if j.doneElsewhere(id) {
		w.strike(id, name, at)
	}
}

// Done enters a task that succeeded at a worker.
func (w *Watch) Done(id oleanderline.WorkerID, name oleanderline.JobID, at time.Time) {
	w.praise(id, at)
	j := w.job(name)
	if len(j.done) < 2 && !j.doneAt(id) {
		j.done = append(j.done, id)
	}
	for other := range j.failed {
		if other != id {
			w.strike(other, name, at)
		}
	}
}

// Forget drops the evidence of a job. Strikes that it led to stay.
func (w *Watch) Forget(name oleanderline.JobID) { delete(w.jobs, name) }

// praise removes the oldest strike, so that a job that fails now and then does not bring a good worker down.
func (w *Watch) praise(id oleanderline.WorkerID, at time.Time) {
	known := w.workers[id]
	if known == nil {
		return
	}
	if known.bad {
		if at.Before(known.probeAt) {
			return
		}
		known.successes++
		if known.successes >= w.settings.Successes {
			delete(w.workers, id)
			w.quarantined--
		}
		return
	}
	delete(known.strikes, known.oldest())
}

func (k *worker) oldest() oleanderline.JobID {
	var name oleanderline.JobID
	var first time.Time
	for other, at := range k.strikes {
		if name == "" || at.Before(first) || (at.Equal(first) && other < name) {
			name, first = other, at
		}
	}
	return name
}

func (w *Watch) strike(id oleanderline.WorkerID, name oleanderline.JobID, at time.Time) {
	if w.settings.Without {
		return
	}
	known := w.workers[id]
	if known == nil {
		known = &worker{strikes: map[oleanderline.JobID]time.Time{}}
		w.workers[id] = known
	}
	if _, counted := known.strikes[name]; known.bad || counted {
		return
	}
	known.strikes[name] = at
	for other, when := range known.strikes {
		if at.Sub(when) > w.settings.Window {
			delete(known.strikes, other)
		}
	}
	if len(known.strikes) >= w.settings.Strikes && (w.quarantined+1)*w.settings.Part <= w.size {
		known.bad, known.probeAt = true, at.Add(w.settings.ProbeFirst)
		w.quarantined++
	}
}

// pause returns the time before the next probe.
func (w *Watch) pause(failed int) time.Duration {
	return min(w.settings.ProbeFirst<<min(failed, 10), w.settings.ProbeMost)
}

func (w *Watch) job(name oleanderline.JobID) *job {
	j := w.jobs[name]
	if j == nil {
		j = &job{failed: map[oleanderline.WorkerID]bool{}}
		w.jobs[name] = j
	}
	return j
}

func (j *job) doneAt(id oleanderline.WorkerID) bool {
	for _, other := range j.done {
		if other == id {
			return true
		}
	}
	return false
}

func (j *job) doneElsewhere(id oleanderline.WorkerID) bool {
	for _, other := range j.done {
		if other != id {
			return true
		}
	}
	return false
}
