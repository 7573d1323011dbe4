package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/record"
)

var batchStep = oleanderline.Step{Count: 1, Size: testSize}

// notesOf takes the planner's notes and returns those of a kind.
func (c *testCell) notesOf(kind NoteKind) []Note {
	var notes []Note
	for _, n := range c.planner.Notes() {
		if n.Kind == kind {
			notes = append(notes, n)
		}
	}
	return notes
}

// runningTask returns a cell of one worker on which the only task of job "1" runs.
func runningTask(t *testing.T) (*testCell, oleanderline.RunKey) {
	t.Helper()
	c := newCell(t, 1)
	c.add("1", batchStep)
	c.place()
	runs := c.runsOf(taskOf("1", 0, 0))
	require.Len(t, runs, 1)
	return c, runs[0]
}

// Guards against a run that counts as ended while the log does not show from which facts the leader concluded this.
func TestLostRunNamesItsFacts(t *testing.T) {
	const wait = 2 * time.Second
	for _, s := range []struct {
		name string
		lose func(c *testCell, key oleanderline.RunKey)
		loss func(c *testCell) Loss
	}{
		{"missing from a report", func(c *testCell, key oleanderline.RunKey) {
			delete(c.workers["w0"].running, key)
			c.report("w0")
		}, func(c *testCell) Loss { return Loss{RequestedAt: c.now} }},
		{"lease expired", func(c *testCell, _ oleanderline.RunKey) {
			c.planner.CallFailed("w0", oleanderline.ErrUncertain)
			c.planner.LeaseExpired("w0", Expiry{End: c.now.Add(-time.Millisecond)}, c.now)
		}, func(c *testCell) Loss { return Loss{LeaseEnd: c.now.Add(-time.Millisecond)} }},
	} {
		t.Run(s.name, func(t *testing.T) {
			c, key := runningTask(t)
			startedAt := c.now
			c.advance(wait)
			s.lose(c, key)
			notes := c.notesOf(NoteLost)
			require.Len(t, notes, 1)
			want := s.loss(c)
			want.StartedAt, want.AnsweredAt = startedAt, startedAt
			require.Equal(t, want, *notes[0].Loss)
			require.Equal(t, oleanderline.WorkerID("w0"), notes[0].Worker)
			require.True(t, notes[0].View.Reported)
		})
	}
}

// Guards against a failed start of which the log does not show whether the leader took it for not started.
func TestFailedStartNamesItsOutcome(t *testing.T) {
	for _, s := range []struct {
		name   string
		result Result
		want   StartFailure
	}{
		{"not sent", Result{Err: oleanderline.ErrUnavailable}, StartFailure{Released: true}},
		{"one call without effect", Result{Err: oleanderline.ErrUnavailable, Attempts: 1}, StartFailure{Attempts: 1, Released: true}},
		{"an earlier call may take effect", Result{Err: oleanderline.ErrUnavailable, Attempts: 2, Took: time.Second}, StartFailure{Attempts: 2, Took: time.Second}},
		{"no answer", Result{Err: oleanderline.ErrUncertain, Attempts: 1}, StartFailure{Attempts: 1}},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, 1)
			c.add("1", batchStep)
			c.advance(rerankInterval)
			c.planner.Place(c.now, c.now, maxStartsPerPass)
			orders := c.planner.Orders()
			require.Len(t, orders, 1)
			s.result.Order = orders[0]
			c.planner.HandleResult(s.result, c.now)
			notes := c.notesOf(NoteStop)
			require.Len(t, notes, 1)
			require.Equal(t, s.want, *notes[0].Failure)
		})
	}
}

// Guards against a second run of a task that the leader stops without a line, and against a line for each report that lists it.
func TestUnexpectedRunIsNotedOnce(t *testing.T) {
	c, key := runningTask(t)
	other := oleanderline.RunKey{Task: key.Task, Run: key.Run - 1}
	report := oleanderline.WorkerReport{Life: testIncarnation, Running: []oleanderline.RunStatus{{Key: key}, {Key: other}}}
	c.planner.Notes()
	for range 3 {
		c.advance(stopRepeatInterval)
		c.planner.Report("w0", report, c.now, c.now)
	}
	notes := c.notesOf(NoteUnexpected)
	require.Len(t, notes, 1)
	require.Equal(t, other, notes[0].Run)
	require.Equal(t, Placement{Run: key.Run, Worker: "w0"}, *notes[0].Expected)
}

// Guards against a start order whose line does not show what the leader knew of the worker.
func TestWorkerViewNamesWhatIsKnown(t *testing.T) {
	inherited := record.Worker{ID: "w0", Address: "w0"}
	listed := record.Worker{ID: "w0", Address: "w0", Unreachable: true, Tasks: []oleanderline.TaskKey{taskOf("a", 0, 0)}}
	emptyList := record.Worker{ID: "w0", Address: "w0", Unreachable: true}
	for _, s := range []struct {
		name   string
		record record.Worker
		steps  func(c *testCell)
		want   string
	}{
		{"nothing known", inherited, func(*testCell) {}, "unreported,inherited"},
		{"recorded as unreachable", listed, func(*testCell) {}, "unreported,inherited,listed"},
		{"recorded as unreachable without tasks", emptyList, func(*testCell) {}, "unreported,inherited"},
		{"call failed", inherited, func(c *testCell) { c.planner.CallFailed("w0", oleanderline.ErrUnavailable) }, "unreported,inherited,unreachable"},
		{"lease of this term expired", inherited, func(c *testCell) { c.planner.LeaseExpired("w0", Expiry{End: c.now}, c.now) }, "unreported,inherited"},
		{"horizon passed", inherited, func(c *testCell) {
			c.advance(testSettings().Horizon)
			c.planner.Place(c.now, c.now, maxStartsPerPass)
		}, "unreported,empty,inherited,unreachable"},
		{"reported", inherited, func(c *testCell) { c.report("w0") }, "reported,inherited"},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, 1)
			c.planner = New(testSettings(), 2, c.now)
			c.planner.InheritWorker(s.record)
			s.steps(c)
			require.Equal(t, s.want, c.planner.workers["w0"].view(c.now).String())
		})
	}
}

// Guards against a term that ends while the log does not show which runs had no result of their start or stop.
func TestOpenRunsAreThoseWithoutAResult(t *testing.T) {
	c, running := runningTask(t)
	c.add("2", batchStep)
	c.advance(rerankInterval)
	c.planner.Place(c.now, c.now, maxStartsPerPass)
	starts, stops := c.planner.OpenRuns()
	require.Len(t, starts, 1)
	require.Equal(t, taskOf("2", 0, 0), starts[0].Task)
	require.Empty(t, stops)
	c.deliver()
	c.planner.Cancel("1")
	starts, stops = c.planner.OpenRuns()
	require.Empty(t, starts)
	require.Equal(t, []oleanderline.RunKey{running}, stops)
	c.deliver()
	_, stops = c.planner.OpenRuns()
	require.Empty(t, stops)
}
