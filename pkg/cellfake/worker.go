package cellfake

import (
	"context"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Work describes the simulated work of a run.
type Work struct {
	Size     oleanderline.Size
	Duration time.Duration // 0 for a long-running task
	Fails    bool          // the run fails at its end
}

// Observer supplies the simulated work of runs, and is notified of their starts and ends. A worker calls its methods with its
// mutex held, so they must not call the worker.
type Observer interface {
	// Work returns the work of a run.
	Work(key oleanderline.RunKey, payload string) Work
	// Started is called when a run starts, on an order that was sent at sentAt.
	Started(worker oleanderline.WorkerID, key oleanderline.RunKey, term oleanderline.Term, sentAt time.Time)
	// Ended is called when a run ends.
	Ended(worker oleanderline.WorkerID, key oleanderline.RunKey, kind oleanderline.EndKind)
	// Acked is called when the end of a run is acknowledged. expired reports whether the worker's deadline has passed in between.
	Acked(key oleanderline.RunKey, kind oleanderline.EndKind, expired bool)
	// Overcommitted is called when a start is refused because it exceeds the worker's free capacity.
	Overcommitted(worker oleanderline.WorkerID, key oleanderline.RunKey)
}

const (
	stopDelay    = 100 * time.Millisecond // from a stop order to the end of the run
	tickInterval = 10 * time.Millisecond
	fullProgress = 100 // percent
	// maxReportedEnds is the number of ends in one report. Later ones follow once these are acknowledged.
	maxReportedEnds = 500
)

// Worker simulates a worker, which runs tasks until a deadline on its own clock. Each incarnation starts without any state of
// the earlier ones.
type Worker struct {
	id        oleanderline.WorkerID
	capacity  oleanderline.Size
	maxLease  time.Duration
	clockRate float64 // speed of its clock; 1 is accurate
	observer  Observer

	mu          sync.Mutex
	incarnation oleanderline.WorkerIncarnation
	startedAt   time.Time
	timeOfDay   time.Duration // by which the worker's time of day differs from the true one
	down        bool
	unhealthy   bool
	longPolls   int // number of renewals that have waited without an end
	term        oleanderline.Term
	deadline    oleanderline.WorkerTime
	used        oleanderline.Size
	runs        map[oleanderline.RunKey]*run
	highestRun  map[oleanderline.TaskKey]int // highest number of a run that was stopped or has ended
	ended       []oleanderline.RunEnd        // not acknowledged
	expiredUpTo int64                        // highest number of an end that was followed by the expiry of the deadline
	lastEnd     int64                        // number of the last end
	changed     chan struct{}                // closed and replaced when a run ends or the worker crashes or restarts
}

type run struct {
	work          Work
	startedAt     time.Time
	stopRequested time.Time // zero if no stop was ordered
}

// NewWorker returns a worker that accepts deadlines of up to maxLease from now, and whose clock runs at clockRate.
func NewWorker(id oleanderline.WorkerID, capacity oleanderline.Size, maxLease time.Duration, clockRate float64, observer Observer) *Worker {
	w := &Worker{id: id, capacity: capacity, maxLease: maxLease, clockRate: clockRate, observer: observer}
	w.reset()
	return w
}

// reset starts a new incarnation.
func (w *Worker) reset() {
	w.startedAt = time.Now()
	w.incarnation = oleanderline.WorkerIncarnation(w.startedAt.Add(w.timeOfDay).UnixMilli())
	w.term, w.deadline, w.used, w.lastEnd, w.expiredUpTo = 0, 0, oleanderline.Size{}, 0, 0
	w.runs = map[oleanderline.RunKey]*run{}
	w.highestRun = map[oleanderline.TaskKey]int{}
	w.ended = nil
	w.changed = make(chan struct{})
}

// Crash ends all runs without reporting their ends. The worker does not answer until Restart.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = true
	w.dropRuns()
	close(w.changed) // wakes waiting calls of Renew
	w.changed = make(chan struct{})
}

// dropRuns ends all runs without reporting their ends.
func (w *Worker) dropRuns() {
	for key := range w.runs {
		w.observer.Ended(w.id, key, oleanderline.EndExpired)
	}
	w.runs = map[oleanderline.RunKey]*run{}
}

// Restart starts a new incarnation.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restart()
}

// RestartAs starts a new incarnation that is identified by another time of day than the simulated one, for example an earlier one
// because the time of day of its VM was set back.
func (w *Worker) RestartAs(incarnation oleanderline.WorkerIncarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restart()
	w.incarnation = incarnation
}

// restart starts a new incarnation. The caller must hold w.mu.
func (w *Worker) restart() {
	w.down = false
	w.dropRuns()
	close(w.changed)
	w.reset()
}

// SetUnhealthy makes the worker refuse all orders without effect, or accept them again. Its runs go on.
func (w *Worker) SetUnhealthy(unhealthy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unhealthy = unhealthy
}

// ID returns the id of the worker, which all its incarnations share.
func (w *Worker) ID() oleanderline.WorkerID { return w.id }

// StepTimeOfDay changes the worker's time of day, of which its next incarnation takes its number. Its deadlines do not depend on it.
func (w *Worker) StepTimeOfDay(step time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timeOfDay += step
}

// RunCount returns how many runs are in progress.
func (w *Worker) RunCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// Incarnation returns the current incarnation.
func (w *Worker) Incarnation() oleanderline.WorkerIncarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation
}

// clock returns the current time of the worker's clock.
func (w *Worker) clock() oleanderline.WorkerTime {
	return oleanderline.WorkerTime(float64(time.Since(w.startedAt).Milliseconds()) * w.clockRate)
}

// Run advances the simulation until ctx is done.
func (w *Worker) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.advance()
		}
	}
}

// advance ends the runs that are due to end.
func (w *Worker) advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	expired := w.clock() >= w.deadline
	if expired {
		w.expiredUpTo = w.lastEnd
	}
	for key, r := range w.runs {
		switch {
		case expired:
			w.endRun(key, oleanderline.EndExpired)
		case !r.stopRequested.IsZero() && time.Since(r.stopRequested) >= stopDelay:
			w.endRun(key, oleanderline.EndStopped)
		case r.work.Duration > 0 && time.Since(r.startedAt) >= r.work.Duration && r.work.Fails:
			w.endRun(key, oleanderline.EndFailed)
		case r.work.Duration > 0 && time.Since(r.startedAt) >= r.work.Duration:
			w.endRun(key, oleanderline.EndDone)
		}
	}
}

// endRun ends a run and records its end for the next report.
func (w *Worker) endRun(key oleanderline.RunKey, kind oleanderline.EndKind) {
	r := w.runs[key]
	delete(w.runs, key)
	w.used = w.used.Sub(r.work.Size)
	w.highestRun[key.Task] = max(w.highestRun[key.Task], key.Run)
	w.lastEnd++
	w.ended = append(w.ended, oleanderline.RunEnd{Number: w.lastEnd, Key: key, How: kind})
	w.observer.Ended(w.id, key, kind)
	close(w.changed)
	w.changed = make(chan struct{})
}

// checkTerm refuses an order with a stale term, and any order if the worker is down or unhealthy. The caller must hold w.mu.
func (w *Worker) checkTerm(term oleanderline.Term) error {
	if w.down {
		return oleanderline.ErrUnavailable
	}
	if w.unhealthy {
		return &oleanderline.RefusedError{Reason: oleanderline.RefusedUnhealthy}
	}
	if term < w.term {
		return &oleanderline.RefusedError{Reason: oleanderline.RefusedTerm}
	}
	w.term = term
	return nil
}

// extendDeadline moves the deadline forward, to at most maxLease from now.
func (w *Worker) extendDeadline(deadline oleanderline.WorkerTime) {
	limit := w.clock().Add(w.maxLease)
	w.deadline = max(w.deadline, min(deadline, limit))
}

// Start carries out an order that is sent now.
func (w *Worker) Start(order oleanderline.StartRun) (oleanderline.WorkerTime, error) {
	return w.StartSentAt(order, time.Now())
}

// StartSentAt carries out an order that was sent at sentAt.
func (w *Worker) StartSentAt(order oleanderline.StartRun, sentAt time.Time) (oleanderline.WorkerTime, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkTerm(order.Term); err != nil {
		return w.clock(), err
	}
	if order.Deadline <= w.clock() {
		return w.clock(), &oleanderline.RefusedError{Reason: oleanderline.RefusedExpired}
	}
	w.extendDeadline(order.Deadline)
	if w.runs[order.Key] != nil {
		return w.clock(), nil
	}
	if order.Key.Run <= w.highestRun[order.Key.Task] {
		return w.clock(), &oleanderline.RefusedError{Reason: oleanderline.RefusedStale}
	}
	work := w.observer.Work(order.Key, order.Payload)
	if !w.used.Add(work.Size).Fits(w.capacity) {
		w.observer.Overcommitted(w.id, order.Key)
		return w.clock(), &oleanderline.RefusedError{Reason: oleanderline.RefusedCapacity}
	}
	w.used = w.used.Add(work.Size)
	w.runs[order.Key] = &run{work: work, startedAt: time.Now()}
	w.observer.Started(w.id, order.Key, order.Term, sentAt)
	return w.clock(), nil
}

// Stop carries out an order. The run ends stopDelay later.
func (w *Worker) Stop(order oleanderline.StopRun) (oleanderline.WorkerTime, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkTerm(order.Term); err != nil {
		return w.clock(), err
	}
	if r := w.runs[order.Key]; r != nil {
		if r.stopRequested.IsZero() {
			r.stopRequested = time.Now()
		}
		return w.clock(), nil
	}
	w.highestRun[order.Key.Task] = max(w.highestRun[order.Key.Task], order.Key.Run)
	return w.clock(), nil
}

// Throttle accepts an order without effect: simulated runs always work at full speed.
func (w *Worker) Throttle(order oleanderline.ThrottleRun) (oleanderline.WorkerTime, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock(), w.checkTerm(order.Term)
}

// Renew extends the deadline and acknowledges ends. It returns a report as soon as there is an end that has not been
// acknowledged, or the wait time of the order has passed. In the latter case the report alternately describes the beginning and the
// end of the wait, because callers must not rely on either.
func (w *Worker) Renew(ctx context.Context, order oleanderline.RenewRuns) (oleanderline.WorkerReport, error) {
	timer := time.NewTimer(order.Wait)
	defer timer.Stop()
	incarnation := w.Incarnation()
	for {
		if w.Incarnation() != incarnation {
			return oleanderline.WorkerReport{}, oleanderline.ErrUncertain // a crash closes the connection
		}
		report, changed, err := w.tryRenew(order)
		if err != nil || len(report.Ended) > 0 || order.Wait == 0 {
			return report, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return w.reportAfterWait(report), nil
		case <-ctx.Done():
			return oleanderline.WorkerReport{}, oleanderline.ErrUncertain
		}
	}
}

// reportAfterWait returns the report of a renewal that has waited without an end: alternately the one from the beginning of the wait
// and a new one.
func (w *Worker) reportAfterWait(early oleanderline.WorkerReport) oleanderline.WorkerReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.longPolls++
	if w.longPolls%2 == 0 || w.down || w.incarnation != early.Life {
		return early
	}
	return w.report()
}

// tryRenew carries out a renewal without waiting. It also returns the channel that is closed at the next change.
func (w *Worker) tryRenew(order oleanderline.RenewRuns) (oleanderline.WorkerReport, <-chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkTerm(order.Term); err != nil {
		return oleanderline.WorkerReport{Clock: w.clock()}, nil, err
	}
	if order.Deadline > 0 {
		w.extendDeadline(order.Deadline)
	}
	w.acknowledge(order.Acked)
	return w.report(), w.changed, nil
}

// report describes the runs in progress, and the oldest ends that have not been acknowledged. The caller must hold w.mu.
func (w *Worker) report() oleanderline.WorkerReport {
	ended := w.ended[:min(len(w.ended), maxReportedEnds)]
	report := oleanderline.WorkerReport{Life: w.incarnation, Clock: w.clock(), Ended: append([]oleanderline.RunEnd(nil), ended...)}
	for key, r := range w.runs {
		report.Running = append(report.Running, oleanderline.RunStatus{Key: key, Percent: r.percent()})
	}
	return report
}

// acknowledge discards the ends up to a number.
func (w *Worker) acknowledge(acked int64) {
	kept := w.ended[:0]
	for _, end := range w.ended {
		if end.Number > acked {
			kept = append(kept, end)
			continue
		}
		w.observer.Acked(end.Key, end.How, end.Number <= w.expiredUpTo)
	}
	w.ended = kept
}

// percent returns the progress of a run.
func (r *run) percent() int {
	if r.work.Duration == 0 {
		return fullProgress
	}
	return min(fullProgress, int(fullProgress*time.Since(r.startedAt)/r.work.Duration))
}

// Runner is a client for a worker that is reached over a path.
type Runner struct {
	Worker *Worker
	Path   *Path
	// OutlivesWorker makes an order that the path delays reach the next incarnation of the worker. By default, it is lost with the
	// incarnation to which it was sent.
	OutlivesWorker bool
	// Starts bounds the starts a second; nil sets no bound.
	Starts *Pace
}

// Start implements oleanderline.Runner.
func (r *Runner) Start(ctx context.Context, order oleanderline.StartRun) (oleanderline.WorkerTime, error) {
	if r.Starts != nil {
		r.Starts.wait(ctx)
	}
	if order.Incarnation != 0 && order.Incarnation != r.Worker.Incarnation() {
		return 0, oleanderline.ErrUnavailable
	}
	sentAt := time.Now()
	return r.order(ctx, func() (oleanderline.WorkerTime, error) { return r.Worker.StartSentAt(order, sentAt) })
}

// order sends an order over the path. If the path delays it, it waits at the worker, so it is lost if the worker crashes in
// the meantime, unless OutlivesWorker is set.
func (r *Runner) order(ctx context.Context, call func() (oleanderline.WorkerTime, error)) (oleanderline.WorkerTime, error) {
	incarnation := r.Worker.Incarnation()
	return callOver(ctx, r.Path, func(context.Context) (oleanderline.WorkerTime, error) {
		if !r.OutlivesWorker && r.Worker.Incarnation() != incarnation {
			return 0, oleanderline.ErrUnavailable
		}
		return call()
	})
}

// Stop implements oleanderline.Runner.
func (r *Runner) Stop(ctx context.Context, order oleanderline.StopRun) (oleanderline.WorkerTime, error) {
	return r.order(ctx, func() (oleanderline.WorkerTime, error) { return r.Worker.Stop(order) })
}

// Throttle implements oleanderline.Runner.
func (r *Runner) Throttle(ctx context.Context, order oleanderline.ThrottleRun) (oleanderline.WorkerTime, error) {
	return r.order(ctx, func() (oleanderline.WorkerTime, error) { return r.Worker.Throttle(order) })
}

// Renew implements oleanderline.Runner.
func (r *Runner) Renew(ctx context.Context, order oleanderline.RenewRuns) (oleanderline.WorkerReport, error) {
	if order.Incarnation != 0 && order.Incarnation != r.Worker.Incarnation() {
		order = oleanderline.RenewRuns{Term: order.Term}
	}
	return callOver(ctx, r.Path, func(ctx context.Context) (oleanderline.WorkerReport, error) { return r.Worker.Renew(ctx, order) })
}

// Close implements oleanderline.Runner.
func (r *Runner) Close() {}
