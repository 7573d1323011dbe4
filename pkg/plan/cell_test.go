package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// testIncarnation is the incarnation of every worker of a testCell.
const testIncarnation = oleanderline.WorkerIncarnation(7)

// testCell is a planner with fake workers, and the records that the planner has flushed.
type testCell struct {
	t       *testing.T
	planner *Planner
	now     time.Time
	workers map[oleanderline.WorkerID]*fakeWorker
	entries []oleanderline.WorkerEntry
	stored  []oleanderline.KeyedRecord
}

// fakeWorker carries out orders at once and keeps what it would report.
type fakeWorker struct {
	running map[oleanderline.RunKey]oleanderline.RunStatus
	ended   []oleanderline.RunEnd
	orders  []Order
}

var (
	testQueue  = oleanderline.Queue{ID: "q", Pool: "pool", MaxAttempts: 2, Stretch: 2, Latency: time.Second}
	testConfig = &oleanderline.CellConfig{Version: 1, Queues: []oleanderline.Queue{testQueue}, Pools: []oleanderline.Pool{{ID: "pool"}}}
	testSize   = oleanderline.Size{CPU: 1000, Memory: 1000}
)

func testSettings() Settings {
	return Settings{Settle: 500 * time.Millisecond, Horizon: 10 * time.Second, Majority: time.Second, Lease: 4 * time.Second, StopGrace: 500 * time.Millisecond}
}

func newCell(t *testing.T, workers int) *testCell {
	t.Helper()
	c := &testCell{t: t, now: time.Unix(1000, 0), workers: map[oleanderline.WorkerID]*fakeWorker{}}
	c.planner = New(testSettings(), 1, c.now)
	c.planner.SetConfig(testConfig)
	for i := range workers {
		id := oleanderline.WorkerID(fmt.Sprintf("w%d", i))
		c.workers[id] = &fakeWorker{running: map[oleanderline.RunKey]oleanderline.RunStatus{}}
		c.entries = append(c.entries, oleanderline.WorkerEntry{
			ID: id, Address: string(id), Pool: "pool", Capacity: oleanderline.Size{CPU: 4000, Memory: 8000},
		})
	}
	c.planner.SetWorkers(c.entries, c.now)
	c.serveAll()
	c.reportAll()
	c.flush()
	return c
}

// newTerm replaces the planner by that of a new leader, which knows the stored records but no report of a worker.
func (c *testCell) newTerm(claims int) {
	jobs := c.planner.jobs
	c.planner = New(testSettings(), claims, c.now)
	c.planner.SetConfig(testConfig)
	progress := map[oleanderline.JobID]record.Progress{}
	workers := map[oleanderline.WorkerID]record.Worker{}
	for _, rec := range c.stored {
		kind, id := record.ParseKey(rec.Key)
		switch kind {
		case record.KindProgress:
			p, err := record.Decode[record.Progress](rec)
			require.NoError(c.t, err)
			progress[oleanderline.JobID(id)] = p
		case record.KindWorker:
			delete(workers, oleanderline.WorkerID(id))
			if len(rec.Value) > 0 {
				w, err := record.Decode[record.Worker](rec)
				require.NoError(c.t, err)
				w.ID = oleanderline.WorkerID(id)
				workers[w.ID] = w
			}
		}
	}
	for id, j := range jobs {
		c.planner.AddJob(j.spec, progress[id], c.now, 0)
	}
	for _, w := range workers {
		c.planner.InheritWorker(w)
	}
	c.planner.SetWorkers(c.entries, c.now)
	c.serveAll()
}

// serveAll makes the planner regard all workers as served.
func (c *testCell) serveAll() {
	for id := range c.workers {
		c.planner.SetServed(id, true)
	}
}

func (c *testCell) flush() {
	records, ends, err := c.planner.Flush()
	require.NoError(c.t, err)
	workers, ids, err := c.planner.Records()
	require.NoError(c.t, err)
	c.stored = append(append(c.stored, records...), workers...)
	for _, id := range ids {
		c.planner.WorkerRecorded(id)
	}
	c.planner.Flushed(ends)
}

func (c *testCell) report(id oleanderline.WorkerID) {
	w := c.workers[id]
	report := oleanderline.WorkerReport{Life: testIncarnation, Ended: w.ended}
	for _, status := range w.running {
		report.Running = append(report.Running, status)
	}
	c.planner.Report(id, report, c.now, c.now)
	c.deliver()
}

func (c *testCell) reportAll() {
	for id := range c.workers {
		c.report(id)
	}
}

// deliver passes the planner's orders to the workers, which carry them out at once.
func (c *testCell) deliver() {
	for _, order := range c.planner.Orders() {
		w := c.workers[order.Worker]
		w.orders = append(w.orders, order)
		switch order.Kind {
		case OrderStart:
			w.running[order.Key] = oleanderline.RunStatus{Key: order.Key}
		case OrderStop:
			w.end(order.Key, oleanderline.EndStopped)
		}
		c.planner.HandleResult(Result{Order: order, Attempts: 1}, c.now)
	}
}

func (w *fakeWorker) end(key oleanderline.RunKey, kind oleanderline.EndKind) {
	if _, ok := w.running[key]; !ok {
		return
	}
	delete(w.running, key)
	w.ended = append(w.ended, oleanderline.RunEnd{Number: int64(len(w.ended) + 1), Key: key, How: kind, Checkpoint: "saved"})
}

// place advances the clock by rerankInterval, so that groups that found no worker are tried again, and runs a scheduling pass.
func (c *testCell) place() {
	c.advance(rerankInterval)
	c.planner.Place(c.now, c.now, maxStartsPerPass)
	c.deliver()
}

func (c *testCell) advance(d time.Duration) { c.now = c.now.Add(d) }

func (c *testCell) add(id oleanderline.JobID, steps ...oleanderline.Step) {
	c.planner.AddJob(oleanderline.Job{ID: id, Queue: "q", Steps: steps}, record.Progress{}, c.now, 0)
}

// runsOf returns the runs of a task that are in progress on any worker.
func (c *testCell) runsOf(task oleanderline.TaskKey) []oleanderline.RunKey {
	var runs []oleanderline.RunKey
	for _, w := range c.workers {
		for key := range w.running {
			if key.Task == task {
				runs = append(runs, key)
			}
		}
	}
	return runs
}

func (c *testCell) endTask(task oleanderline.TaskKey, kind oleanderline.EndKind) oleanderline.WorkerID {
	for id, w := range c.workers {
		for key := range w.running {
			if key.Task == task {
				w.end(key, kind)
				return id
			}
		}
	}
	require.Fail(c.t, "the task is not running", task.String())
	return ""
}

func taskOf(job oleanderline.JobID, step, index int) oleanderline.TaskKey {
	return oleanderline.TaskKey{Job: job, Step: step, Index: index}
}
