package account

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// at returns the fields of a log line at a number of seconds after the first.
func at(seconds float64, event, message, more string) string {
	stamp := time.Date(2026, 5, 23, 15, 45, 0, 0, time.UTC).Add(time.Duration(seconds * float64(time.Second)))
	return fmt.Sprintf(`{"time":%q,"event":%q,"msg":%q%s}`, stamp.Format("2006-01-02T15:04:05.000Z07:00"), event, message, more)
}

// leaderLog is the log of a leader that runs one job of two tasks, the second in two runs, and a long-running task.
func leaderLog() string {
	return strings.Join([]string{
		at(1, "E6030", "start", `,"task":"j1.0.0.0","run":1,"worker":"w1","waited":1,"obstacle":"room","kind":"batch"`),
		at(1, "E6030", "start", `,"task":"j1.0.0.1","run":1,"worker":"w2","waited":0.5,"obstacle":"","kind":"batch"`),
		at(1, "E6030", "start", `,"task":"l1.0.0.0","run":1,"worker":"w2","waited":0,"obstacle":"","kind":"long-running"`),
		at(2, "E6032", "no progress", `,"task":"j1.0.0.1","run":1,"worker":"w2"`),
		at(3, "E6031", "stopped", `,"task":"j1.0.0.1","run":1,"worker":"w2"`),
		at(3.25, "E6031", "done", `,"task":"j1.0.0.0","run":1,"worker":"w1"`),
		at(4, "E6030", "start", `,"task":"j1.0.0.1","run":2,"worker":"w1","waited":1,"obstacle":"interference","kind":"batch"`),
		at(4.5, "E6032", "consolidating long-running tasks", `,"task":"l1.0.0.0","run":1,"worker":"w2"`),
		at(5, "E6031", "stopped", `,"task":"l1.0.0.0","run":1,"worker":"w2"`),
		at(6, "E6031", "done", `,"task":"j1.0.0.1","run":2,"worker":"w1"`),
		at(6, "E6023", "completed", `,"task":"j1.0.0.0","run":0`),
	}, "\n")
}

func read(t *testing.T, logs ...string) *Account {
	t.Helper()
	r := NewReader()
	for i, log := range logs {
		require.NoError(t, r.Add(fmt.Sprintf("n%d", i), strings.NewReader(log)))
	}
	return r.Account(2 * time.Second)
}

// Guards against times that are lost, counted twice, or put under another reason, also if the logs of the nodes come in another order.
func TestSums(t *testing.T) {
	follower := at(0, "E6020", "job stored", `,"job":"j1","queue":"q"`) + "\n" + at(0, "E6020", "job stored", `,"job":"l1","queue":"long"`)
	for _, logs := range [][]string{{leaderLog(), follower}, {follower, leaderLog()}} {
		a := read(t, logs...)
		require.Equal(t, &Sum{
			Jobs: map[string]int{"completed": 1}, Waited: map[string]float64{"room": 1, "turn": 0.5, "interference": 1},
			Ran: 2.25 + 2, Repeated: map[string]float64{"no progress": 2},
		}, a.Queues["q"])
		require.Equal(t, &Sum{Jobs: map[string]int{"open": 1}, Waited: map[string]float64{"turn": 0}, Ran: 4, Repeated: map[string]float64{}}, a.Queues["long"])
		require.Zero(t, a.Skipped)
		running, waiting, stops := 0.0, 0.0, 0
		for _, p := range a.Periods {
			running += 2 * p.Running
			waiting += 2 * p.Waiting
			stops += p.Stops
		}
		require.InDelta(t, 2.25+2+2+4, running, 1e-9, "the periods add up to all runs")
		require.InDelta(t, 2.5, waiting, 1e-9, "the periods add up to all waits")
		require.Equal(t, 2, stops)
	}
}

// Guards against sums that are wrong without a word after lines were damaged, cut or dropped, and against a panic on such lines.
func TestDamagedLogs(t *testing.T) {
	for _, s := range []struct {
		name    string
		log     string
		skipped int
		first   string
		open    int
		dropped bool
	}{
		{"cut in the last line", leaderLog()[:len(leaderLog())-20], 1, "n0:11", 0, false},
		{"other text between", strings.Replace(leaderLog(), "\n", "\nnot a log line\n{\"event\":7}\n", 1), 2, "n0:2", 0, false},
		{"no ends", strings.Join(strings.Split(leaderLog(), "\n")[:4], "\n"), 0, "", 3, false},
		{"ends without starts", strings.Join(strings.Split(leaderLog(), "\n")[3:6], "\n"), 0, "", 0, false},
		{"lines dropped by the node", leaderLog() + "\n" + at(7, "E6040", "12 lines dropped", ""), 0, "", 0, true},
		{"a negative wait", at(1, "E6030", "start", `,"task":"j1.0.0.0","run":1,"waited":-5`), 0, "", 1, false},
		{"nothing", "", 0, "", 0, false},
	} {
		t.Run(s.name, func(t *testing.T) {
			a := read(t, s.log)
			require.Equal(t, s.skipped, a.Skipped)
			require.Equal(t, s.first, a.FirstSkipped)
			require.Equal(t, s.open, a.Open)
			require.Equal(t, s.dropped, a.Dropped)
			for _, sum := range a.Queues {
				for _, waited := range sum.Waited {
					require.GreaterOrEqual(t, waited, 0.0)
				}
			}
		})
	}
}

// Guards against a log that is read in part only without an error.
func TestOverlongLineIsAnError(t *testing.T) {
	err := NewReader().Add("n0", strings.NewReader(leaderLog()+"\n"+strings.Repeat("x", maxLineBytes+1)))
	require.ErrorContains(t, err, "n0, after line 11")
}
