package cellfake

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// idleObserver makes every run last, and ignores what the worker tells it.
type idleObserver struct{ Observer }

func (idleObserver) Work(oleanderline.RunKey, string) Work { return Work{} }

func (idleObserver) Started(oleanderline.WorkerID, oleanderline.RunKey, oleanderline.Term, time.Time) {
}

func (idleObserver) Ended(oleanderline.WorkerID, oleanderline.RunKey, oleanderline.EndKind) {}

func (idleObserver) Acked(oleanderline.RunKey, oleanderline.EndKind, bool) {}

// Guards against a simulation in which a late order is always lost when its worker restarts: the platform addresses it by the id, which
// the next incarnation shares.
func TestLateOrderReachesTheNextIncarnation(t *testing.T) {
	for _, outlives := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			worker := NewWorker("w", oleanderline.Size{CPU: 1000}, time.Minute, 1, idleObserver{})
			path := NewPath(rand.New(rand.NewPCG(1, 1)))
			path.SetFault(FaultLate)
			runner := &Runner{Worker: worker, Path: path, OutlivesWorker: outlives}
			reached := 0
			for i := range 20 {
				order := oleanderline.StartRun{Key: oleanderline.RunKey{Task: oleanderline.TaskKey{Job: "a", Index: i}, Run: 1}, Deadline: 60_000, Term: 1}
				_, _ = runner.Start(context.Background(), order) // some orders are late, the others are answered
				worker.Restart()
				path.WaitLate()
				reached += worker.RunCount()
			}
			require.Equal(t, outlives, reached > 0)
		})
	}
}

// Guards against a report that lists more ends than the platform does, and against ends that are never listed.
func TestEndsAreReportedInParts(t *testing.T) {
	worker := NewWorker("w", oleanderline.Size{CPU: 1000}, time.Minute, 1, idleObserver{})
	const runs = maxReportedEnds + 20
	for i := range runs {
		key := oleanderline.RunKey{Task: oleanderline.TaskKey{Job: "a", Index: i}, Run: 1}
		_, err := worker.Start(oleanderline.StartRun{Key: key, Deadline: 60_000, Term: 1})
		require.NoError(t, err)
	}
	worker.mu.Lock()
	for key := range worker.runs {
		worker.endRun(key, oleanderline.EndDone)
	}
	worker.mu.Unlock()
	listed := 0
	for acked := int64(0); acked < runs; {
		report, err := worker.Renew(context.Background(), oleanderline.RenewRuns{Term: 1, Acked: acked})
		require.NoError(t, err)
		require.LessOrEqual(t, len(report.Ended), maxReportedEnds)
		listed += len(report.Ended)
		acked = report.Ended[len(report.Ended)-1].Number
	}
	require.Equal(t, runs, listed)
}
