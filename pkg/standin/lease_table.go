package standin

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
)

// maxSamples bounds the usage reports kept until the lag has passed.
const maxSamples = 1000

func (w *Worker) start(req oleanderline.StartRequest, now time.Time) error {
	key := oleanderline.AttemptKey{Task: req.Task, Attempt: req.Attempt}
	if _, running := w.tasks[key]; running {
		return nil
	}
	if outcome, ended := w.ended[key]; ended {
		if outcome.State != oleanderline.OutcomeStopped && w.unacked[req.Shard][key] {
			return nil
		}
		return fmt.Errorf("attempt %d of %s has ended: %w", req.Attempt, req.Task, oleanderline.ErrFenced)
	}
	if !w.committed().Add(req.Size).Fits(w.size) {
		w.refused++
		return fmt.Errorf("%s: %s on top of %s exceeds %s: %w",
			w.id, req.Size, w.committed(), w.size, oleanderline.ErrCapacity)
	}
	run := &Run{AttemptKey: key, Worker: w.id, Begin: now}
	w.runs = append(w.runs, run)
	t := &task{
		StartRequest: req, program: parseCommand(req.Command), run: run, expires: now.Add(req.Lease), settled: now,
		done: readCheckpoint(req.Checkpoint), share: 1,
	}
	t.endless = t.endless || req.Kind == oleanderline.KindCritical
	if w.failing {
		t.program = program{fail: true}
	}
	w.tasks[key] = t
	w.settle(now)
	return nil
}

func (w *Worker) stop(req oleanderline.StopRequest, now time.Time) oleanderline.StopResult {
	key := oleanderline.AttemptKey{Task: req.Task, Attempt: req.Attempt}
	if outcome, ended := w.ended[key]; ended {
		answer := oleanderline.StopResult{Stopped: true, Checkpoint: outcome.Checkpoint}
		if outcome.State != oleanderline.OutcomeStopped {
			answer.Outcome = &outcome
		}
		return answer
	}
	t, running := w.tasks[key]
	if !running {
		w.ended[key] = oleanderline.Outcome{AttemptKey: key, State: oleanderline.OutcomeStopped}
		return oleanderline.StopResult{Stopped: true}
	}
	if t.ignoreStop {
		return oleanderline.StopResult{}
	}
	checkpoint := t.Checkpoint
	if req.Checkpoint {
		checkpoint = writeCheckpoint(t.done)
	}
	w.end(key, t, now, oleanderline.Outcome{State: oleanderline.OutcomeStopped, Checkpoint: checkpoint})
	return oleanderline.StopResult{Stopped: true, Checkpoint: checkpoint}
}

// settle brings all tasks up to now: each makes progress, ends, or loses its lease, whichever comes first.
func (w *Worker) settle(now time.Time) {
	if !w.frozen.IsZero() {
		return
	}
	for key, t := range w.tasks {
		w.settleTask(key, t, now)
	}
}

func (w *Worker) settleTask(key oleanderline.AttemptKey, t *task, now time.Time) {
	until := now
	if t.expires.Before(until) {
		until = t.expires
	}
	if !t.endless || t.fail {
		finish := t.settled.Add(time.Duration(float64(t.length-t.done) / t.share))
		if !finish.After(until) {
			w.finish(key, t, finish)
			return
		}
	}
	if until.After(t.settled) {
		t.done += time.Duration(float64(until.Sub(t.settled)) * t.share)
		t.settled = until
	}
	if !now.Before(t.expires) {
		w.end(key, t, t.expires, oleanderline.Outcome{
			State: oleanderline.OutcomeLapsed, Reason: "lease expired", Checkpoint: t.Checkpoint,
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
	w.ended[key] = outcome
	if w.unacked[t.Shard] == nil {
		w.unacked[t.Shard] = map[oleanderline.AttemptKey]bool{}
	}
	w.unacked[t.Shard][key] = true
}

// thaw ends a pause: the tasks made no progress during it, and their leases went on running.
func (w *Worker) thaw(now time.Time) {
	for _, t := range w.tasks {
		if t.expires.After(w.frozen) {
			t.settled = now
		}
	}
	paused := w.frozen
	w.frozen = time.Time{}
	for key, t := range w.tasks {
		if !now.Before(t.expires) {
			// The task was frozen from the start of the pause on, so it ended there for the purpose of checks.
			w.end(key, t, paused, oleanderline.Outcome{
				State: oleanderline.OutcomeLapsed, Reason: "lease expired", Checkpoint: t.Checkpoint,
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
	answer := oleanderline.Inventory{Worker: w.id, Leases: []oleanderline.Lease{}, Outcomes: []oleanderline.Outcome{}}
	for key, t := range w.tasks {
		if t.Shard != shard {
			continue
		}
		lease := oleanderline.Lease{
			AttemptKey: key, Term: t.Term, Size: t.Size, Kind: t.Kind, Remaining: t.expires.Sub(now),
		}
		if t.length > 0 {
			lease.Progress = min(1, float64(t.done)/float64(t.length))
		}
		answer.Leases = append(answer.Leases, lease)
	}
	for _, key := range slices.Collect(maps.Keys(w.unacked[shard])) {
		answer.Outcomes = append(answer.Outcomes, w.ended[key])
	}
	slices.SortFunc(answer.Leases, func(a, b oleanderline.Lease) int { return compareKeys(a.AttemptKey, b.AttemptKey) })
	slices.SortFunc(answer.Outcomes, func(a, b oleanderline.Outcome) int { return compareKeys(a.AttemptKey, b.AttemptKey) })
	return answer
}

func (w *Worker) usage(now time.Time) oleanderline.Usage {
	w.samples = append(w.samples, w.measure(now))
	if len(w.samples) > maxSamples {
		w.samples = w.samples[1:]
	}
	for len(w.samples) > 1 && !w.samples[1].Time.After(now.Add(-w.lag)) {
		w.samples = w.samples[1:]
	}
	if w.samples[0].Time.After(now.Add(-w.lag)) {
		return oleanderline.Usage{}
	}
	return w.samples[0]
}

func (w *Worker) measure(now time.Time) oleanderline.Usage {
	usage := oleanderline.Usage{Time: now, Tasks: []oleanderline.TaskUsage{}}
	for key, t := range w.tasks {
		one := oleanderline.TaskUsage{
			AttemptKey: key, CPU: oleanderline.Millicores(float64(t.Size.CPU) * t.share), Mem: t.Size.Memory,
		}
		if t.Kind == oleanderline.KindCritical && w.slow != nil {
			one.Slow = w.slow(key)
		}
		usage.CPU += one.CPU
		usage.Mem += one.Mem
		usage.Tasks = append(usage.Tasks, one)
	}
	slices.SortFunc(usage.Tasks, func(a, b oleanderline.TaskUsage) int { return compareKeys(a.AttemptKey, b.AttemptKey) })
	return usage
}

func compareKeys(a, b oleanderline.AttemptKey) int {
	return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}
