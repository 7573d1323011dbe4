package node

import (
	"context"
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline"
)

// workerTimeout is how long a process waits for the answer of a worker that it cannot reach.
const workerTimeout = 350 * time.Millisecond

// faultyRunner is the client of one process for one worker. It applies the faults of the cell that are in force.
type faultyRunner struct {
	oleanderline.Runner
	cell *handoverCell
	cut  cut
}

// fault returns the error of a call that a fault prevents, or nil.
func (r *faultyRunner) fault(ctx context.Context) error {
	r.cell.mu.Lock()
	isCut, isUnhealthy := r.cell.cuts[r.cut] > 0, r.cell.unhealthy[r.cut.worker] > 0
	r.cell.mu.Unlock()
	if isCut {
		timer := time.NewTimer(workerTimeout)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		return fmt.Errorf("no answer: %w", oleanderline.ErrUncertain)
	}
	if isUnhealthy {
		return &oleanderline.RefusedError{Reason: oleanderline.RefusedUnhealthy}
	}
	return nil
}

// Start implements oleanderline.Runner.
func (r *faultyRunner) Start(ctx context.Context, order oleanderline.StartRun) (oleanderline.WorkerTime, error) {
	if err := r.fault(ctx); err != nil {
		return 0, err
	}
	return r.Runner.Start(ctx, order)
}

// Stop implements oleanderline.Runner.
func (r *faultyRunner) Stop(ctx context.Context, order oleanderline.StopRun) (oleanderline.WorkerTime, error) {
	if err := r.fault(ctx); err != nil {
		return 0, err
	}
	return r.Runner.Stop(ctx, order)
}

// Renew implements oleanderline.Runner.
func (r *faultyRunner) Renew(ctx context.Context, order oleanderline.RenewRuns) (oleanderline.WorkerReport, error) {
	if err := r.fault(ctx); err != nil {
		return oleanderline.WorkerReport{}, err
	}
	return r.Runner.Renew(ctx, order)
}

func (c *handoverCell) workerID(index int) oleanderline.WorkerID {
	return oleanderline.WorkerID(fmt.Sprintf("w%d", index))
}

// endLeaders ends the leader, and then its successors 0.3 to 2.5 s later each, by planned stops and kills.
func (c *handoverCell) endLeaders(count int) {
	type end struct {
		pause, down time.Duration
		planned     bool
	}
	var ends []end
	for range count {
		ends = append(ends, end{
			pause:   300*time.Millisecond + time.Duration(c.faultRand.IntN(2200))*time.Millisecond,
			down:    500*time.Millisecond + time.Duration(c.faultRand.IntN(2500))*time.Millisecond,
			planned: c.faultRand.IntN(3) > 0,
		})
	}
	c.wg.Go(func() {
		for _, e := range ends {
			if index := c.leaderIndex(); index >= 0 && e.planned {
				c.drainProcess(index, e.down)
			} else if index >= 0 {
				c.killProcess(index, e.down)
			}
			time.Sleep(e.pause)
		}
	})
}

// drainProcess stops a process as planned: it drains, continues for down, and is replaced by a new process as soon as it has stopped.
func (c *handoverCell) drainProcess(index int, down time.Duration) {
	p := c.process(index)
	if p == nil {
		return
	}
	c.wg.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, maxFault)
		defer cancel()
		p.node.Drain(ctx)
		time.Sleep(down)
		if c.process(index) != p {
			return // it was killed meanwhile
		}
		c.setProcess(index, nil)
		p.node.Stop()
		p.wait()
		c.restart(index)
	})
}

// cutWorkers makes some or all workers unreachable for one, some or all processes. The workers run on.
func (c *handoverCell) cutWorkers(duration time.Duration) {
	processes, workers := 1+c.faultRand.IntN(len(c.commons)), 1+c.faultRand.IntN(workerCount)
	var cuts []cut
	for _, i := range c.faultRand.Perm(len(c.commons))[:processes] {
		for _, w := range c.faultRand.Perm(workerCount)[:workers] {
			cuts = append(cuts, cut{i, c.workerID(w)})
		}
	}
	c.change(func() {
		for _, path := range cuts {
			c.cuts[path]++
		}
	})
	c.after(duration, func() {
		for _, path := range cuts {
			c.cuts[path]--
		}
	})
}

// refuse makes a worker refuse all calls as unhealthy while it runs on.
func (c *handoverCell) refuse(id oleanderline.WorkerID, duration time.Duration) {
	c.change(func() { c.unhealthy[id]++ })
	c.after(duration, func() { c.unhealthy[id]-- })
}

// unlist removes a worker that runs on from the directory for some time.
func (c *handoverCell) unlist(id oleanderline.WorkerID, duration time.Duration) {
	c.unlistWorker(id)
	time.AfterFunc(duration, func() { c.listWorker(id) })
}

// replaceWorker crashes a worker for good, and lists another one in its place under a new id.
func (c *handoverCell) replaceWorker(index int, delay time.Duration) {
	if len(c.spares) == 0 {
		return
	}
	spare := c.spares[0]
	c.spares = c.spares[1:]
	c.workers[index].Crash()
	time.AfterFunc(delay, func() {
		c.unlistWorker(c.workerID(index))
		c.listWorker(c.workerID(spare))
	})
}

// restartWorker restarts a worker under its id. In some seeds it restarts once more soon after, with its time of day set back to
// before the earlier restart.
func (c *handoverCell) restartWorker(index int, down time.Duration) {
	worker := c.workers[index]
	worker.Crash()
	time.AfterFunc(down, worker.Restart)
	if c.seed%4 != 3 {
		return
	}
	time.AfterFunc(2*down, func() {
		worker.Crash()
		worker.StepTimeOfDay(-2 * down)
		worker.Restart()
	})
}

// stepTimeOfDay steps the time of day of a process by up to 5 s forward or back.
func (c *handoverCell) stepTimeOfDay(process int) {
	step := time.Duration(c.faultRand.IntN(10000)-5000) * time.Millisecond
	c.change(func() { c.wallSteps[process] += step })
}

func (c *handoverCell) change(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

func (c *handoverCell) after(d time.Duration, change func()) {
	time.AfterFunc(d, func() { c.change(change) })
}
