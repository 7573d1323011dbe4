package plan

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// takeNotes takes the planner's notes, those that wait for more workers included.
func (c *testCell) takeNotes() map[NoteKind][]Note {
	c.advance(maxNoteDelay)
	c.planner.Place(c.now, c.now, maxStartsPerPass)
	c.deliver()
	notes := map[NoteKind][]Note{}
	for _, n := range c.planner.LastNotes() {
		notes[n.Kind] = append(notes[n.Kind], n)
	}
	return notes
}

// factsOf returns what notes say of each worker.
func factsOf(notes []Note) map[oleanderline.WorkerID]WorkerFact {
	facts := map[oleanderline.WorkerID]WorkerFact{}
	for _, n := range notes {
		for _, fact := range n.Workers {
			facts[fact.ID] = fact
		}
	}
	return facts
}

// Guards against a task that runs twice after a change of leader while the log does not show which workers the new leader has
// inherited, what they have reported, and from when on it starts tasks.
func TestTakeoverIsNoted(t *testing.T) {
	c := newCell(t, 3)
	c.add("1", oleanderline.Step{Count: 6, Size: testSize})
	c.place()
	c.planner.CallFailed("w1", oleanderline.ErrUncertain)
	onW1 := len(c.workers["w1"].running)
	c.flush()
	c.newTerm(2)
	stray := oleanderline.RunKey{Task: taskOf("1", 0, 99), Run: 1}
	c.workers["w0"].running[stray] = oleanderline.RunStatus{Key: stray}
	onW0 := len(c.workers["w0"].running) - 1
	c.report("w0")

	notes := c.takeNotes()
	inherited := factsOf(notes[NoteInherited])
	require.Len(t, inherited, 3)
	require.Equal(t, WorkerFact{ID: "w1", View: WorkerView{Inherited: true, TasksListed: true}, ListsTasks: true, Tasks: onW1}, inherited["w1"])
	require.False(t, inherited["w2"].ListsTasks)
	reports := factsOf(notes[NoteFirstReport])
	require.Len(t, reports, 1)
	require.Equal(t, onW0, reports["w0"].Adopted)
	require.Equal(t, 1, reports["w0"].Unknown)
	require.Equal(t, testIncarnation, reports["w0"].Life)
	require.Empty(t, notes[NoteTakeover], "w2 may run any task and has not reported")

	c.advance(testSettings().Settle)
	takeover := c.takeNotes()[NoteTakeover]
	require.Len(t, takeover, 1)
	require.Equal(t, TakeoverState{Inherited: 3, Listed: 1, Reported: 1, Waiting: 2}, *takeover[0].Takeover)
	require.Len(t, takeover[0].Workers, 2)

	c.report("w2")
	takeover = c.takeNotes()[NoteTakeover]
	require.Len(t, takeover, 1)
	require.True(t, strings.HasPrefix(takeover[0].Reason, "unreported tasks start: all"), takeover[0].Reason)
	require.Contains(t, factsOf(takeover), oleanderline.WorkerID("w1"))
	require.Empty(t, c.takeNotes()[NoteTakeover], "each restriction is noted once")
}

// Guards against a worker that counts as empty without a report while the log does not show why.
func TestEmptyWorkerIsNotedWithItsReason(t *testing.T) {
	for _, s := range []struct {
		name    string
		reports []oleanderline.WorkerID
		wait    time.Duration
		expire  bool
		reason  emptyReason
		restart string // when unreported tasks start
	}{
		{"lease of this term", []oleanderline.WorkerID{"w0", "w1"}, 6 * time.Second, true, emptyByMajority, "unreported tasks start: most workers refuse earlier leaders for longer than a lease"},
		{"majority", []oleanderline.WorkerID{"w0", "w1"}, 6 * time.Second, false, emptyByMajority, "unreported tasks start: most workers refuse earlier leaders for longer than a lease"},
		{"horizon", nil, 11 * time.Second, false, emptyByHorizon, "unreported tasks start: the horizon has passed"},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, 3)
			c.add("1", oleanderline.Step{Count: 6, Size: testSize})
			c.place()
			c.newTerm(2)
			for _, id := range s.reports {
				c.report(id)
			}
			if s.expire {
				c.planner.LeaseExpired("w2", Expiry{End: c.now.Add(-time.Second)}, c.now)
			}
			var empty, takeover []Note
			for range s.wait / maxNoteDelay {
				notes := c.takeNotes()
				empty, takeover = append(empty, notes[NoteEmpty]...), append(takeover, notes[NoteTakeover]...)
			}
			facts := factsOf(empty)
			require.Len(t, facts, 3-len(s.reports))
			require.Equal(t, string(s.reason), empty[0].Reason)
			require.True(t, facts["w2"].View.AssumedEmpty)
			last := takeover[len(takeover)-1]
			require.Equal(t, s.restart, last.Reason)
			require.Equal(t, len(facts), last.Takeover.Empty)
		})
	}
}

// Guards against a change of leader that writes a line for each worker, so that the limit of lines drops those that matter.
func TestTakeoverOfManyWorkersWritesFewLines(t *testing.T) {
	const workers = 540
	const linesPerList = workers/maxWorkersPerNote + 1
	for _, s := range []struct {
		name   string
		report bool
		most   int
	}{
		{"all report", true, 3*linesPerList + 2},  // inherited, reported, recorded
		{"none reports", false, 6 * linesPerList}, // inherited, recorded, two lists of those that have not reported, empty, deleted
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, workers)
			c.newTerm(2)
			if s.report {
				c.reportAll()
			}
			count := 0
			for range 2 * testSettings().Horizon / maxNoteDelay {
				c.flush()
				for _, notes := range c.takeNotes() {
					count += len(notes)
				}
			}
			require.LessOrEqual(t, count, s.most)
		})
	}
}

// Guards against a record of a worker, from which the next leader concludes what may run there, while the log does not show what the
// record says and whether the worker had reported to the leader that stored it.
func TestWorkerRecordIsNoted(t *testing.T) {
	for _, s := range []struct {
		name  string
		steps func(c *testCell)
		known string
		want  bool // a record is written
	}{
		{"in use", func(c *testCell) { c.report("w0") }, "reported,inherited", true},
		{"unreachable after a report", func(c *testCell) {
			c.report("w0")
			c.planner.CallFailed("w0", oleanderline.ErrUncertain)
		}, "reported,inherited,unreachable", true},
		{"unreachable without a report", func(c *testCell) {
			c.planner.CallFailed("w0", oleanderline.ErrUncertain)
		}, "unreported,inherited,unreachable", false},
		{"deleted", func(c *testCell) {
			c.planner.CallFailed("w0", oleanderline.ErrUncertain)
			c.advance(testSettings().Horizon)
			c.planner.Place(c.now, c.now, maxStartsPerPass)
		}, "unreported,empty,inherited,unreachable", true},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, 1)
			c.add("1", oleanderline.Step{Count: 2, Size: testSize})
			c.place()
			c.newTerm(2)
			s.steps(c)
			c.stored = nil
			c.flush()
			records := c.storedWorkers()
			facts := factsOf(c.takeNotes()[NoteRecord])
			require.Len(t, facts, len(records))
			require.Equal(t, s.want, len(records) > 0)
			for id, rec := range records {
				require.Equal(t, s.known, facts[id].View.String())
				require.Equal(t, rec.Unreachable, facts[id].ListsTasks)
				require.Equal(t, len(rec.Tasks), facts[id].Tasks)
			}
		})
	}
}

// storedWorkers returns the stored records of workers. A deleted record is empty.
func (c *testCell) storedWorkers() map[oleanderline.WorkerID]record.Worker {
	workers := map[oleanderline.WorkerID]record.Worker{}
	for _, rec := range c.stored {
		kind, id := record.ParseKey(rec.Key)
		if kind != record.KindWorker {
			continue
		}
		var worker record.Worker
		if len(rec.Value) > 0 {
			var err error
			worker, err = record.Decode[record.Worker](rec)
			require.NoError(c.t, err)
		}
		workers[oleanderline.WorkerID(id)] = worker
	}
	return workers
}
