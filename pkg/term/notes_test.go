package term

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/plan"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// newLoggingSession returns a session of VM "vm1" in term 7 that can only log. It serves worker w1 itself and w2 through an agent.
func newLoggingSession(out io.Writer) *Session {
	return &Session{
		common:   common.New("test", common.WithLogger(common.NewLogger(out, logrus.InfoLevel))),
		settings: Settings{VM: "vm1", Leader: record.Leader{Term: 7}},
		links:    map[oleanderline.WorkerID]*connection{"w1": {}, "w2": {agent: "vm2"}},
	}
}

var (
	testRun   = oleanderline.RunKey{Task: oleanderline.TaskKey{Job: "fb500e955732b4d9", Index: 3}, Run: 2003}
	startNote = plan.Note{
		Kind: plan.NoteStart, Run: testRun, Worker: "w2", Waited: 12 * time.Millisecond, Obstacle: "room", TaskKind: "batch",
		Reason: "task was ready for 12ms, job age 15ms of objective 2s, free CPU of the worker 3200m",
		View:   plan.WorkerView{Reported: true, Inherited: true, Age: 250 * time.Millisecond},
	}
)

// lines decodes the log lines in a buffer.
func lines(t *testing.T, log *bytes.Buffer) []map[string]any {
	t.Helper()
	var list []map[string]any
	for decoder := json.NewDecoder(log); decoder.More(); {
		var l map[string]any
		require.NoError(t, decoder.Decode(&l))
		list = append(list, l)
	}
	return list
}

// Guards against an order of which the log does not show which process decided and which one sent it.
func TestOrderNamesDeciderAndSender(t *testing.T) {
	for _, s := range []struct {
		name   string
		worker oleanderline.WorkerID
		want   map[string]any
	}{
		{"sent by the leader", "w1", map[string]any{"agent": nil, "unserved": nil}},
		{"sent by an agent", "w2", map[string]any{"agent": "vm2", "unserved": nil}},
		{"not sent", "w3", map[string]any{"agent": nil, "unserved": true}},
	} {
		for _, kind := range []plan.NoteKind{plan.NoteStart, plan.NoteStop, plan.NoteUnexpected} {
			t.Run(s.name, func(t *testing.T) {
				var log bytes.Buffer
				note := startNote
				note.Kind, note.Worker = kind, s.worker
				newLoggingSession(&log).logNote(note)
				l := lines(t, &log)[0]
				for field, value := range s.want {
					require.Equal(t, value, l[field], field)
				}
				require.Equal(t, "vm1", l["leader"])
				require.InDelta(t, 7, l["term"], 0)
				require.Equal(t, "reported,inherited", l["known"])
				require.InDelta(t, 0.25, l["age"], 1e-9)
			})
		}
	}
}

// Guards against a lost run whose line lacks the facts of the decision or shows those that played no part.
func TestLossIsLoggedWithItsFacts(t *testing.T) {
	var log bytes.Buffer
	s := newLoggingSession(&log)
	s.metrics = newTermMetrics(s.common.Metrics)
	now := s.common.Clock.Now()
	loss := &plan.Loss{StartedAt: now.Add(-3 * time.Second), AnsweredAt: now.Add(-2 * time.Second), RequestedAt: now.Add(-time.Second)}
	s.logNote(plan.Note{Kind: plan.NoteLost, Run: testRun, Worker: "w1", Reason: "run is missing from the report of its worker", Loss: loss})
	l := lines(t, &log)[0]
	require.Equal(t, "E6033", l["event"])
	for field, value := range map[string]float64{"began": 3, "answered": 2, "asked": 1} {
		require.InDelta(t, value, l[field], 0.5, field)
	}
	require.NotContains(t, l, "expired")
}

// BenchmarkLogStart measures the line of one start.
func BenchmarkLogStart(b *testing.B) {
	s := newLoggingSession(io.Discard)
	for b.Loop() {
		s.logNote(startNote)
	}
}
