package standin

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
)

// maxSamples is the maximum number of usage reports that are kept until the usage lag has passed.
const maxSamples = 1000

func (w *Worker) start(req oleanderline.StartRequest, now time.Time) error {
	key := oleanderline.AttemptKey{Task: req.Task, Attempt: req.Attempt}
	if _, running := w.tasks[key]; running {
		return nil
	}
	if outcome, ended := w.outcomes[key]; ended {
		if outcome.State != oleanderline.OutcomeStopped && w.unacked[req.Shard][key] {
			return nil
		}
		return fmt.Errorf("attempt %d of task %s has already ended: %w", req.Attempt, req.Task, oleanderline.ErrFenced)
	}
	if !w.committed().Add(req.Size).Fits(w.size) {
		w.capacityRefusals++
		return fmt.Errorf("worker %s: %s in addition to the committed %s exceeds the capacity %s: %w",
			w.id, req.Size, w.committed(), w.size, oleanderline.ErrCapacity)
	}
	run := &Run{AttemptKey: key, Worker: w.id, Begin: now}
	w.runs = append(w.runs, run)
	t := &task{
		StartRequest: req, program: parseCommand(req.Command), run: run, expires: now.Add(req.Lease), advancedTo: now,
		done: parseCheckpoint(req.Checkpoint), cpuShare: 1,
	}
	t.endless = t.endless || req.Kind == oleanderline.KindCritical
	if w.failing {
		t.program = program{fail: true}
	}
	w.tasks[key] = t
	w.advance(now)
	return nil
}

func (w *Worker) stop(req oleanderline.StopRequest, now time.Time) oleanderline.StopResult {
	key := oleanderline.AttemptKey{Task: req.Task, Attempt: req.Attempt}
	if outcome, ended := w.outcomes[key]; ended {
		result := oleanderline.StopResult{Stopped: true, Checkpoint: outcome.Checkpoint}
		if outcome.State != oleanderline.OutcomeStopped {
			result.Outcome = &outcome
		}
		return result
	}
	t, running := w.tasks[key]
	if !running {
		w.outcomes[key] = oleanderline.Outcome{AttemptKey: key, State: oleanderline.OutcomeStopped}
		return oleanderline.StopResult{Stopped: true}
	}
	if t.ignoreStop {
		return oleanderline.StopResult{}
	}
	checkpoint := t.Checkpoint
	if req.Checkpoint {
		checkpoint = formatCheckpoint(t.done)
	}
	w.end(key, t, now, oleanderline.Outcome{State: oleanderline.OutcomeStopped, Checkpoint: checkpoint})
	return oleanderline.StopResult{Stopped: true, Checkpoint: checkpoint}
}

// advance advances all tasks to now: each makes progress until it ends or its lease expires, whichever comes first. It has
// no effect while the worker is paused.
func (w *Worker) advance(now time.Time) {
	if !w.pausedAt.IsZero() {
		return
	}
	for key, t := range w.tasks {
		w.advanceTask(key, t, now)
	}
}

func (w *Worker) advanceTask(key oleanderline.AttemptKey, t *task, now time.Time) {
	until := now
	if t.expires.Before(until) {
		until = t.expires
	}
	if !t.endless || t.fail {
		finish := t.advancedTo.Add(time.Duration(float64(t.duration-t.done) / t.cpuShare))
		if !finish.After(until) {
			w.finish(key, t, finish)
			return
		}
	}
	if until.After(t.advancedTo) {
		t.done += time.Duration(float64(until.Sub(t.advancedTo)) * t.cpuShare)
		t.advancedTo = until
	}
	if !now.Before(t.expires) {
		w.end(key, t, t.expires, oleanderline.Outcome{
			State: oleanderline.OutcomeExpired, Reason: "lease expired", Checkpoint: t.Checkpoint,
		})
	}
}

func (w *Worker) finish(key oleanderline.AttemptKey, t *task, at time.Time) {
	if at.Before(t.run.Begin) {
		at = t.run.Begin
	}
	outcome := oleanderline.Outcome{State: oleanderline.OutcomeDone}
	if t.fail {
		outcome = oleanderline.Outcome{State: oleanderline.OutcomeFailed, Reason: "exit status 1"}
	}
	w.end(key, t, at, outcome)
}

func (w *Worker) end(key oleanderline.AttemptKey, t *task, at time.Time, outcome oleanderline.Outcome) {
	outcome.AttemptKey = key
	outcome.Ran = at.Sub(t.run.Begin)
	t.run.End, t.run.State = at, outcome.State
	delete(w.tasks, key)
	w.outcomes[key] = outcome
	if w.unacked[t.Shard] == nil {
		w.unacked[t.Shard] = map[oleanderline.AttemptKey]bool{}
	}
	w.unacked[t.Shard][key] = true
}

// resume ends a pause. Tasks made no progress during the pause, but their leases kept expiring.
func (w *Worker) resume(now time.Time) {
	for _, t := range w.tasks {
		if t.expires.After(w.pausedAt) {
			t.advancedTo = now
		}
	}
	pausedAt := w.pausedAt
	w.pausedAt = time.Time{}
	for key, t := range w.tasks {
		if !now.Before(t.expires) {
			// The task was suspended since the start of the pause, so that is the end of its run for Violations.
			w.end(key, t, pausedAt, oleanderline.Outcome{
				State: oleanderline.OutcomeExpired, Reason: "lease expired", Checkpoint: t.Checkpoint,
			})
		}
	}
}

func (w *Worker) committed() oleanderline.Size {
	var sum oleanderline.Size
	for _, t := range w.tasks {
		sum = sum.Add(t.Size)
	}
	return sum
}

func (w *Worker) inventory(shard oleanderline.ShardID, now time.Time) oleanderline.Inventory {
	inventory := oleanderline.Inventory{Worker: w.id, Leases: []oleanderline.Lease{}, Outcomes: []oleanderline.Outcome{}}
	for key, t := range w.tasks {
		if t.Shard != shard {
			continue
		}
		lease := oleanderline.Lease{
			AttemptKey: key, Term: t.Term, Size: t.Size, Kind: t.Kind, Remaining: t.expires.Sub(now),
		}
		if t.duration > 0 {
			lease.Progress = min(1, float64(t.done)/float64(t.duration))
		}
		inventory.Leases = append(inventory.Leases, lease)
	}
	for _, key := range slices.Collect(maps.Keys(w.unacked[shard])) {
		inventory.Outcomes = append(inventory.Outcomes, w.outcomes[key])
	}
	slices.SortFunc(inventory.Leases, func(a, b oleanderline.Lease) int { return compareKeys(a.AttemptKey, b.AttemptKey) })
	slices.SortFunc(inventory.Outcomes, func(a, b oleanderline.Outcome) int { return compareKeys(a.AttemptKey, b.AttemptKey) })
	return inventory
}

func (w *Worker) usage(now time.Time) oleanderline.Usage {
	w.samples = append(w.samples, w.measure(now))
	if len(w.samples) > maxSamples {
		w.samples = w.samples[1:]
	}
	for len(w.samples) > 1 && !w.samples[1].Time.After(now.Add(-w.usageLag)) {
		w.samples = w.samples[1:]
	}
	if w.samples[0].Time.After(now.Add(-w.usageLag)) {
		return oleanderline.Usage{}
	}
	return w.samples[0]
}

func (w *Worker) measure(now time.Time) oleanderline.Usage {
	usage := oleanderline.Usage{Time: now, Tasks: []oleanderline.TaskUsage{}}
	for key, t := range w.tasks {
		taskUsage := oleanderline.TaskUsage{
			AttemptKey: key, CPU: oleanderline.Millicores(float64(t.Size.CPU) * t.cpuShare), Mem: t.Size.Memory,
		}
		if t.Kind == oleanderline.KindCritical && w.slowdown != nil {
			taskUsage.Slowdown = w.slowdown(key)
		}
		usage.CPU += taskUsage.CPU
		usage.Mem += taskUsage.Mem
		usage.Tasks = append(usage.Tasks, taskUsage)
	}
	slices.SortFunc(usage.Tasks, func(a, b oleanderline.TaskUsage) int { return compareKeys(a.AttemptKey, b.AttemptKey) })
	return usage
}

func compareKeys(a, b oleanderline.AttemptKey) int {
	return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}
