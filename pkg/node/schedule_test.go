package node

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/cellfake"
)

const (
	// ciSchedules is how many seeds a normal run plays. OLEANDER_SCHEDULES sets another number, OLEANDER_SEED a single seed.
	ciSchedules = 60
	jobsPerRun  = 16
	faultsEach  = 10
	afterFaults = 40 * time.Second
)

// Guards against all that must never happen (a task that runs twice, starts too early, too often or unasked, a job that is
// lost) under crashes, cuts, outages, and calls that are lost or carried out late, of all processes at any time.
func TestSchedules(t *testing.T) {
	first, count := uint64(1), ciSchedules
	if seed := os.Getenv("OLEANDER_SEED"); seed != "" {
		number, err := strconv.ParseUint(seed, 10, 64)
		require.NoError(t, err)
		first, count = number, 1
	} else if number, err := strconv.Atoi(os.Getenv("OLEANDER_SCHEDULES")); err == nil {
		count = number
	}
	for seed := first; seed < first+uint64(count); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			commons := newCommons()
			synctest.Test(t, func(t *testing.T) { playSchedule(t, newWorld(t, seed, commons)) })
		})
	}
}

func playSchedule(t *testing.T, w *world) {
	defer w.close()
	time.Sleep(4 * time.Second) // a leader is found
	w.duties.Go(w.callers)
	for range faultsEach {
		time.Sleep(time.Duration(w.random.IntN(3000)) * time.Millisecond)
		w.strike()
	}
	time.Sleep(12 * time.Second) // the longest fault ends
	w.heal()
	time.Sleep(afterFaults)
	w.checks.Final(func(id oleanderline.JobID) (oleanderline.JobState, error) {
		return w.member(0).node.State(w.ctx, "q", id)
	})
	require.Empty(t, w.checks.Result())
}

// callers hands jobs in over the time of the faults and cancels some.
func (w *world) callers() {
	for i := range jobsPerRun {
		job := cellfake.DrawJob(w.calls, worldQueue, fmt.Sprintf("%016x", i+1))
		if w.submit(job) && w.calls.IntN(6) == 0 {
			time.Sleep(500 * time.Millisecond)
			w.cancelJob(job.ID)
		}
		time.Sleep(time.Duration(w.calls.IntN(1000)) * time.Millisecond)
	}
}

// strike begins one fault, which ends by itself.
func (w *world) strike() {
	node := w.random.IntN(worldNodes)
	lasts := time.Second + time.Duration(w.random.IntN(8000))*time.Millisecond
	fault := []cellfake.Fault{cellfake.FaultRefuse, cellfake.FaultSilent, cellfake.FaultLost, cellfake.FaultLate}[w.random.IntN(4)]
	switch w.random.IntN(8) {
	case 0:
		w.killNode(node, lasts)
	case 1:
		w.onStore(node, fault, lasts)
	case 2:
		for i := range worldNodes {
			w.onStore(i, fault, lasts)
		}
	case 3:
		w.onWorkers(node, fault, 1+w.random.IntN(worldWorkers), lasts)
	case 4:
		w.crashWorker(w.random.IntN(worldWorkers), lasts)
	case 5:
		w.killLeader(lasts)
	case 6:
		w.onWorkers(node, cellfake.FaultSilent, worldWorkers, lasts)
	case 7:
		w.onPeers(node, fault, lasts)
	}
}

func (w *world) killNode(index int, lasts time.Duration) {
	m := w.member(index)
	if m == nil {
		return
	}
	w.setMember(index, nil)
	w.duties.Go(func() {
		m.node.Stop()
		m.wait()
		time.Sleep(lasts)
	})
	time.AfterFunc(lasts, func() { w.revive(index) })
}

func (w *world) killLeader(lasts time.Duration) {
	for i := range worldNodes {
		if m := w.member(i); m != nil && m.node.session.Load() != nil {
			w.killNode(i, lasts)
			return
		}
	}
}

func (w *world) onStore(index int, fault cellfake.Fault, lasts time.Duration) {
	m := w.member(index)
	if m == nil {
		return
	}
	m.store.Set(fault)
	time.AfterFunc(lasts, func() { m.store.Set(cellfake.FaultNone) })
}

func (w *world) onPeers(index int, fault cellfake.Fault, lasts time.Duration) {
	m := w.member(index)
	if m == nil {
		return
	}
	m.peers.Set(fault)
	time.AfterFunc(lasts, func() { m.peers.Set(cellfake.FaultNone) })
}

func (w *world) onWorkers(index int, fault cellfake.Fault, count int, lasts time.Duration) {
	m := w.member(index)
	if m == nil {
		return
	}
	for _, path := range m.paths {
		if count == 0 {
			return
		}
		count--
		path.Set(fault)
		time.AfterFunc(lasts, func() { path.Set(cellfake.FaultNone) })
	}
}

func (w *world) crashWorker(index int, lasts time.Duration) {
	worker, id := w.workers[index], oleanderline.WorkerID(fmt.Sprintf("w%d", index))
	worker.Crash()
	time.AfterFunc(lasts/2, func() { w.unlist(id) })
	time.AfterFunc(lasts, func() {
		worker.Restart()
		w.list(id)
	})
}
