package cellfake

import (
	"context"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Work is what a run does.
type Work struct {
	Size  oleanderline.Size
	Takes time.Duration // 0 for a task that lasts
	Fails bool
}

// Observer learns what a worker does. Its methods are called with the worker's mutex held and must not call it back.
type Observer interface {
	// Work returns what a run does.
	Work(key oleanderline.RunKey, payload string) Work
	// Started tells that a run began on an order that was sent at ordered.
	Started(worker oleanderline.WorkerID, key oleanderline.RunKey, term oleanderline.Term, ordered time.Time)
	// Ended tells that a run ended.
	Ended(worker oleanderline.WorkerID, key oleanderline.RunKey, how oleanderline.EndKind)
	// Acked tells that an end was acknowledged, and whether the worker's deadline had passed since the end.
	Acked(key oleanderline.RunKey, how oleanderline.EndKind, lapsed bool)
	// Overcommitted tells that a start did not fit.
	Overcommitted(worker oleanderline.WorkerID, key oleanderline.RunKey)
}

const (
	stopTakes = 100 * time.Millisecond
	tick      = 10 * time.Millisecond
	atWork    = 100 // percent
)

// Worker runs tasks until a deadline on its own clock. Each life begins with an empty memory.
type Worker struct {
	id       oleanderline.WorkerID
	capacity oleanderline.Size
	maxHold  time.Duration
	rate     float64 // of its clock
	observer Observer

	mu       sync.Mutex
	life     oleanderline.WorkerLife
	born     time.Time
	down     bool
	term     oleanderline.Term
	deadline oleanderline.WorkerTime
	used     oleanderline.Size
	runs     map[oleanderline.RunKey]*run
	highest  map[oleanderline.TaskKey]int // runs stopped or ended
	ended    []oleanderline.RunEnd
	lapsed   int64 // the highest number of an end after which the deadline has passed
	number   int64
	changed  chan struct{}
}

type run struct {
	work     Work
	began    time.Time
	stopping time.Time
}

// NewWorker returns a worker whose clock runs at rate.
func NewWorker(id oleanderline.WorkerID, capacity oleanderline.Size, maxHold time.Duration, rate float64, observer Observer) *Worker {
	w := &Worker{id: id, capacity: capacity, maxHold: maxHold, rate: rate, observer: observer}
	w.begin()
	return w
}

func (w *Worker) begin() {
	w.born = time.Now()
	w.life = oleanderline.WorkerLife(w.born.UnixMilli())
	w.term, w.deadline, w.used, w.number, w.lapsed = 0, 0, oleanderline.Size{}, 0, 0
	w.runs = map[oleanderline.RunKey]*run{}
	w.highest = map[oleanderline.TaskKey]int{}
	w.ended = nil
	w.changed = make(chan struct{})
}

// Crash ends all runs without a trace, and the worker answers nothing before Restart.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = true
	w.endAll()
	close(w.changed) // holds that wait end
	w.changed = make(chan struct{})
}

// endAll ends all runs without a trace.
func (w *Worker) endAll() {
	for key := range w.runs {
		w.observer.Ended(w.id, key, oleanderline.EndLapsed)
	}
	w.runs = map[oleanderline.RunKey]*run{}
}

// Restart begins a new life.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = false
	w.endAll()
	close(w.changed)
	w.begin()
}

// RunCount returns how many runs are in progress.
func (w *Worker) RunCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// Life returns the present life.
func (w *Worker) Life() oleanderline.WorkerLife {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life
}

func (w *Worker) clock() oleanderline.WorkerTime {
	return oleanderline.WorkerTime(float64(time.Since(w.born).Milliseconds()) * w.rate)
}

// Run lets time pass for the runs until the context ends.
func (w *Worker) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
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

func (w *Worker) advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	lapsed := w.clock() >= w.deadline
	if lapsed {
		w.lapsed = w.number
	}
	for key, r := range w.runs {
		switch {
		case lapsed:
			w.end(key, oleanderline.EndLapsed)
		case !r.stopping.IsZero() && time.Since(r.stopping) >= stopTakes:
			w.end(key, oleanderline.EndStopped)
		case r.work.Takes > 0 && time.Since(r.began) >= r.work.Takes && r.work.Fails:
			w.end(key, oleanderline.EndFailed)
		case r.work.Takes > 0 && time.Since(r.began) >= r.work.Takes:
			w.end(key, oleanderline.EndDone)
		}
	}
}

func (w *Worker) end(key oleanderline.RunKey, how oleanderline.EndKind) {
	r := w.runs[key]
	delete(w.runs, key)
	w.used = w.used.Sub(r.work.Size)
	w.highest[key.Task] = max(w.highest[key.Task], key.Run)
	w.number++
	w.ended = append(w.ended, oleanderline.RunEnd{Number: w.number, Key: key, How: how})
	w.observer.Ended(w.id, key, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// accept checks the term of an order. The caller holds the mutex.
func (w *Worker) accept(term oleanderline.Term) error {
	if w.down {
		return oleanderline.ErrUnavailable
	}
	if term < w.term {
		return &oleanderline.RefusedError{Reason: oleanderline.RefusedTerm}
	}
	w.term = term
	return nil
}

func (w *Worker) extend(deadline oleanderline.WorkerTime) {
	limit := w.clock().Add(w.maxHold)
	w.deadline = max(w.deadline, min(deadline, limit))
}

// Start carries out an order at once.
func (w *Worker) Start(order oleanderline.StartRun) (oleanderline.WorkerTime, error) {
	return w.start(order, time.Now())
}

// start carries out an order that was sent at ordered.
func (w *Worker) start(order oleanderline.StartRun, ordered time.Time) (oleanderline.WorkerTime, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.accept(order.Term); err != nil {
		return 0, err
	}
	if order.Deadline <= w.clock() {
		return 0, &oleanderline.RefusedError{Reason: oleanderline.RefusedLate}
	}
	w.extend(order.Deadline)
	if w.runs[order.Key] != nil {
		return w.clock(), nil
	}
	if order.Key.Run <= w.highest[order.Key.Task] {
		return 0, &oleanderline.RefusedError{Reason: oleanderline.RefusedOld}
	}
	work := w.observer.Work(order.Key, order.Payload)
	if !w.used.Add(work.Size).Fits(w.capacity) {
		w.observer.Overcommitted(w.id, order.Key)
		return 0, &oleanderline.RefusedError{Reason: oleanderline.RefusedRoom}
	}
	w.used = w.used.Add(work.Size)
	w.runs[order.Key] = &run{work: work, began: time.Now()}
	w.observer.Started(w.id, order.Key, order.Term, ordered)
	return w.clock(), nil
}

// Stop carries out an order.
func (w *Worker) Stop(order oleanderline.StopRun) (oleanderline.WorkerTime, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.accept(order.Term); err != nil {
		return 0, err
	}
	if r := w.runs[order.Key]; r != nil {
		if r.stopping.IsZero() {
			r.stopping = time.Now()
		}
		return w.clock(), nil
	}
	w.highest[order.Key.Task] = max(w.highest[order.Key.Task], order.Key.Run)
	return w.clock(), nil
}

// Pace carries out an order. Runs of this worker always work at full speed.
func (w *Worker) Pace(order oleanderline.PaceRun) (oleanderline.WorkerTime, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock(), w.accept(order.Term)
}

// Hold extends the deadline, and returns the lists as soon as there is an end that is not acknowledged.
func (w *Worker) Hold(ctx context.Context, order oleanderline.HoldRuns) (oleanderline.WorkerReport, error) {
	timer := time.NewTimer(order.Wait)
	defer timer.Stop()
	life := w.Life()
	for {
		if w.Life() != life {
			return oleanderline.WorkerReport{}, oleanderline.ErrUncertain // a crash ends the connection
		}
		report, changed, err := w.holdNow(order)
		if err != nil || len(report.Ended) > 0 || order.Wait == 0 {
			return report, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return report, nil
		case <-ctx.Done():
			return oleanderline.WorkerReport{}, oleanderline.ErrUncertain
		}
	}
}

func (w *Worker) holdNow(order oleanderline.HoldRuns) (oleanderline.WorkerReport, <-chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.accept(order.Term); err != nil {
		return oleanderline.WorkerReport{}, nil, err
	}
	if order.Deadline > 0 {
		w.extend(order.Deadline)
	}
	w.forget(order.Acked)
	report := oleanderline.WorkerReport{Life: w.life, Clock: w.clock(), Ended: append([]oleanderline.RunEnd(nil), w.ended...)}
	for key, r := range w.runs {
		report.Running = append(report.Running, oleanderline.RunStatus{Key: key, Percent: r.percent()})
	}
	return report, w.changed, nil
}

func (w *Worker) forget(acked int64) {
	kept := w.ended[:0]
	for _, end := range w.ended {
		if end.Number > acked {
			kept = append(kept, end)
			continue
		}
		w.observer.Acked(end.Key, end.How, end.Number <= w.lapsed)
	}
	w.ended = kept
}

func (r *run) percent() int {
	if r.work.Takes == 0 {
		return atWork
	}
	return min(atWork, int(atWork*time.Since(r.began)/r.work.Takes))
}

// Runner is a worker behind a path.
type Runner struct {
	Worker *Worker
	Path   *Path
}

// Start implements oleanderline.Runner.
func (r *Runner) Start(ctx context.Context, order oleanderline.StartRun) (oleanderline.WorkerTime, error) {
	ordered := time.Now()
	return r.order(ctx, func() (oleanderline.WorkerTime, error) { return r.Worker.start(order, ordered) })
}

// order makes a call that may be carried out late. It waits at the worker, so it is lost if the worker crashes meanwhile.
func (r *Runner) order(ctx context.Context, call func() (oleanderline.WorkerTime, error)) (oleanderline.WorkerTime, error) {
	life := r.Worker.Life()
	return carry(ctx, r.Path, func(context.Context) (oleanderline.WorkerTime, error) {
		if r.Worker.Life() != life {
			return 0, oleanderline.ErrUnavailable
		}
		return call()
	})
}

// Stop implements oleanderline.Runner.
func (r *Runner) Stop(ctx context.Context, order oleanderline.StopRun) (oleanderline.WorkerTime, error) {
	return r.order(ctx, func() (oleanderline.WorkerTime, error) { return r.Worker.Stop(order) })
}

// Pace implements oleanderline.Runner.
func (r *Runner) Pace(ctx context.Context, order oleanderline.PaceRun) (oleanderline.WorkerTime, error) {
	return r.order(ctx, func() (oleanderline.WorkerTime, error) { return r.Worker.Pace(order) })
}

// Hold implements oleanderline.Runner.
func (r *Runner) Hold(ctx context.Context, order oleanderline.HoldRuns) (oleanderline.WorkerReport, error) {
	return carry(ctx, r.Path, func(ctx context.Context) (oleanderline.WorkerReport, error) { return r.Worker.Hold(ctx, order) })
}

// Close implements oleanderline.Runner.
func (r *Runner) Close() {}
