package standin

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

func newTestWorker() (*Worker, *common.VirtualClock) {
	clock := common.NewVirtualClock(time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC))
	return NewWorker("w-1", oleanderline.Size{CPU: 4000, Memory: 4000}, clock), clock
}

func startRequest(task string, attempt int, command string) oleanderline.StartRequest {
	return oleanderline.StartRequest{
		Term: 5, Task: oleanderline.TaskID(task), Attempt: oleanderline.Attempt(attempt), Kind: oleanderline.KindBatch,
		Command: command, Size: oleanderline.Size{CPU: 1000, Memory: 1000}, Lease: 10 * time.Second,
	}
}

// Guards against a fake that is more lenient than the contract of oleanderline.Worker and so hides faults of the scheduler.
func TestWorkerKeepsItsContract(t *testing.T) {
	ctx := context.Background()
	w, clock := newTestWorker()
	require.NoError(t, w.Start(ctx, startRequest("j/1", 1, "sleep 2s")))
	require.NoError(t, w.Start(ctx, startRequest("j/1", 1, "sleep 2s")), "a repeated start has no effect")

	_, err := w.Stop(ctx, oleanderline.StopRequest{Term: 5, Task: "j/2", Attempt: 1})
	require.NoError(t, err)
	require.ErrorIs(t, w.Start(ctx, startRequest("j/2", 1, "sleep 2s")), oleanderline.ErrFenced, "was stopped before its start")

	stale := startRequest("j/3", 1, "sleep 2s")
	stale.Term = 4
	require.ErrorIs(t, w.Start(ctx, stale), oleanderline.ErrFenced, "old term")

	big := startRequest("j/4", 1, "sleep 2s")
	big.Size.CPU = 3001
	require.ErrorIs(t, w.Start(ctx, big), oleanderline.ErrCapacity)
	require.Equal(t, 1, w.CapacityRefusals())

	clock.Advance(3 * time.Second)
	for range 2 {
		inventory, err := w.Inventory(ctx, 0)
		require.NoError(t, err)
		require.Len(t, inventory.Outcomes, 1, "kept until acknowledged")
		require.Equal(t, oleanderline.OutcomeDone, inventory.Outcomes[0].State)
		require.Equal(t, 2*time.Second, inventory.Outcomes[0].Ran)
	}
	key := oleanderline.AttemptKey{Task: "j/1", Attempt: 1}
	inventory, err := w.Renew(ctx, oleanderline.RenewRequest{Term: 5, Acked: []oleanderline.AttemptKey{key}})
	require.NoError(t, err)
	require.Empty(t, inventory.Outcomes)
	require.Empty(t, Violations(w.Runs()))
}

// Guards against a fake that ignores the CPU share, the checkpoint or the expiry of a lease when it computes the progress and
// the end of a task.
func TestWorkerLeasesAndCheckpoints(t *testing.T) {
	ctx := context.Background()
	w, clock := newTestWorker()
	require.NoError(t, w.Start(ctx, startRequest("j/1", 1, "sleep 8s")))
	require.NoError(t, w.Throttle(ctx, oleanderline.ThrottleRequest{Term: 5, Task: "j/1", Attempt: 1, Share: 0.5}))
	clock.Advance(4 * time.Second)
	stopped, err := w.Stop(ctx, oleanderline.StopRequest{Term: 5, Task: "j/1", Attempt: 1, Checkpoint: true})
	require.NoError(t, err)
	require.Equal(t, oleanderline.StopResult{Stopped: true, Checkpoint: formatCheckpoint(2 * time.Second)}, stopped)

	resumed := startRequest("j/1", 2, "sleep 8s")
	resumed.Checkpoint = stopped.Checkpoint
	require.NoError(t, w.Start(ctx, resumed))
	require.NoError(t, w.Start(ctx, startRequest("j/2", 1, "sleep 20s ignore-stop")))
	ignored, err := w.Stop(ctx, oleanderline.StopRequest{Term: 5, Task: "j/2", Attempt: 1})
	require.NoError(t, err)
	require.False(t, ignored.Stopped)

	clock.Advance(11 * time.Second)
	inventory, err := w.Inventory(ctx, 0)
	require.NoError(t, err)
	require.Len(t, inventory.Outcomes, 3)
	require.Equal(t, oleanderline.OutcomeDone, inventory.Outcomes[1].State)
	require.Equal(t, 6*time.Second, inventory.Outcomes[1].Ran, "the rest after the checkpoint")
	require.Equal(t, oleanderline.OutcomeExpired, inventory.Outcomes[2].State, "the lease expires by the worker's clock")
	require.Equal(t, 10*time.Second, inventory.Outcomes[2].Ran)
}

// Guards against a pause that discards calls: a real VM processes the buffered data of its sockets when it resumes, even if
// its leases have expired in the meantime.
func TestWorkerPause(t *testing.T) {
	w, clock := newTestWorker()
	require.NoError(t, w.Start(context.Background(), startRequest("j/1", 1, "sleep 5s")))
	w.SetPaused(true)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, w.Start(cancelled, startRequest("j/2", 1, "sleep 5s")), oleanderline.ErrUncertain)
	clock.Advance(11 * time.Second)
	w.SetPaused(false)
	inventory, err := w.Inventory(context.Background(), 0)
	require.NoError(t, err)
	require.Equal(t, oleanderline.OutcomeExpired, inventory.Outcomes[0].State)
	require.Equal(t, oleanderline.TaskID("j/2"), inventory.Leases[0].Task)
}

// Guards against a check of runs that cannot fail.
func TestViolations(t *testing.T) {
	start := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	run := func(worker string, attempt, from, to int, state oleanderline.OutcomeState) Run {
		r := Run{Worker: oleanderline.WorkerID(worker), Begin: start.Add(time.Duration(from) * time.Second), State: state}
		r.Task, r.Attempt = "j/1", oleanderline.Attempt(attempt)
		if to > 0 {
			r.End = start.Add(time.Duration(to) * time.Second)
		}
		return r
	}
	scenarios := []struct {
		name string
		runs []Run
		want int
	}{
		{"retry after a stop", []Run{run("a", 1, 0, 5, oleanderline.OutcomeStopped), run("b", 2, 5, 9, oleanderline.OutcomeDone)}, 0},
		{"overlap", []Run{run("a", 1, 0, 5, oleanderline.OutcomeExpired), run("b", 2, 4, 9, oleanderline.OutcomeDone)}, 1},
		{"overlap of running attempts", []Run{run("a", 1, 0, 0, ""), run("b", 2, 4, 0, "")}, 1},
		{"same attempt", []Run{run("a", 1, 0, 5, oleanderline.OutcomeExpired), run("b", 1, 6, 9, oleanderline.OutcomeDone)}, 1},
		{"done twice", []Run{run("a", 1, 0, 5, oleanderline.OutcomeDone), run("b", 2, 6, 9, oleanderline.OutcomeDone)}, 1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) { require.Len(t, Violations(s.runs), s.want) })
	}
}
