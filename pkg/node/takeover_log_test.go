package node

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/lead"
)

// logBuffer collects the log lines of all processes.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

type logLine map[string]any

// take removes the lines of the log and returns them by event.
func (b *logBuffer) take(t *testing.T) map[common.Event][]logLine {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	events := map[common.Event][]logLine{}
	for decoder := json.NewDecoder(&b.text); decoder.More(); {
		var l logLine
		require.NoError(t, decoder.Decode(&l))
		event, _ := l["event"].(string)
		events[common.Event(event)] = append(events[common.Event(event)], l)
	}
	return events
}

// workersOf returns the descriptions of workers in lines, by id.
func workersOf(lines []logLine) map[string]string {
	workers := map[string]string{}
	for _, l := range lines {
		list, _ := l["workers"].([]any)
		for _, item := range list {
			id, text, _ := strings.Cut(item.(string), " ")
			workers[id] = text
		}
	}
	return workers
}

// Guards against a change of leader whose log does not show what each leader decided, who sent it, and what the next leader knew
// when it started tasks.
func TestTakeoverIsLogged(t *testing.T) {
	const taskCount = 4 * workerCount // as many as the workers have room for
	for _, s := range []struct {
		name string
		seed uint64 // chooses whether agents serve workers
	}{
		{"the leader serves all workers", 0},
		{"agents serve workers", 1},
	} {
		t.Run(s.name, func(t *testing.T) {
			log := &logBuffer{}
			commons := newLoggingCommons(log, logrus.InfoLevel, systemClocks())
			synctest.Test(t, func(t *testing.T) {
				c := newTestCell(t, s.seed, commons)
				defer c.close()
				time.Sleep(4 * time.Second)
				c.submitLongRunning("1", taskCount)
				time.Sleep(2 * time.Second)
				first := c.leaderIndex()
				checkStarts(t, log.take(t), taskCount, s.seed != 0)

				c.killProcess(first, 3*time.Second)
				time.Sleep(6 * time.Second)
				checkTakeover(t, log.take(t))

				c.cancelJob("1")
				c.submitLongRunning("2", taskCount)
				time.Sleep(2 * time.Second)
				events := log.take(t)
				checkStarts(t, events, taskCount, s.seed != 0)
				require.Contains(t, events[common.EventRunStart][0]["known"], "reported,inherited")
			})
		})
	}
}

// submitLongRunning submits a job of long-running tasks.
func (c *testCell) submitLongRunning(id oleanderline.JobID, count int) {
	job := oleanderline.Job{ID: id, Queue: testQueue.ID, Policy: testQueue, Steps: []oleanderline.Step{
		{Count: count, Size: oleanderline.Size{CPU: 1000, Memory: 500}, LongRunning: true},
	}}
	require.True(c.t, c.submit(job))
}

// checkStarts checks that each start names the leader and, if an agent sent it, the agent, whose own line names it as well.
func checkStarts(t *testing.T, events map[common.Event][]logLine, count int, agents bool) {
	t.Helper()
	starts := events[common.EventRunStart]
	require.Len(t, starts, count)
	sent := map[any]logLine{}
	for _, l := range events[common.EventAgentStart] {
		sent[l["task"]] = l
	}
	byAgents := 0
	for _, l := range starts {
		require.NotEmpty(t, l["leader"])
		require.Nil(t, l["unserved"])
		if l["agent"] == nil {
			continue
		}
		byAgents++
		require.Equal(t, l["agent"], sent[l["task"]]["daemon"], "the process that logs the order is the one that the leader names")
		for _, field := range []string{"run", "worker", "term"} {
			require.Equal(t, l[field], sent[l["task"]][field], field)
		}
	}
	require.Equal(t, agents, byAgents > 0)
	require.Len(t, sent, byAgents)
}

// checkTakeover checks the lines of a new leader to which all workers report.
func checkTakeover(t *testing.T, events map[common.Event][]logLine) {
	t.Helper()
	begins := events[common.EventTermBegins]
	require.Len(t, begins, 1)
	require.InDelta(t, workerCount, begins[0]["workers"], 0)
	require.InDelta(t, 0, begins[0]["listed"], 0)
	require.Len(t, workersOf(events[common.EventWorkersInherited]), workerCount)
	reports := workersOf(events[common.EventFirstReports])
	require.Len(t, reports, workerCount)
	for id, text := range reports {
		require.Contains(t, text, "reported,inherited", id)
		require.Contains(t, text, "unknown=0", id)
	}
	require.Len(t, workersOf(events[common.EventWorkersRecorded]), workerCount)
	takeover := events[common.EventTakeover]
	require.Len(t, takeover, 2)
	for _, l := range takeover {
		require.InDelta(t, begins[0]["term"], l["term"], 0)
		require.InDelta(t, workerCount, l["inherited"], 0)
	}
	require.Contains(t, takeover[0]["msg"], "tasks start")
	require.Contains(t, takeover[1]["msg"], "unreported tasks start")
	require.InDelta(t, workerCount, takeover[1]["reported"], 0)
}

// Guards against a change of leader of which the log does not show whether the leader resigned, when its last call had returned, and
// why the next one claimed.
func TestEndOfLeadershipIsLogged(t *testing.T) {
	for _, s := range []struct {
		name     string
		stop     func(c *testCell, leader int)
		resigned bool
		cause    lead.Cause
	}{
		{"planned stop", func(c *testCell, leader int) { c.process(leader).node.Drain(c.ctx) }, true, lead.CauseResigned},
		{"loss", func(c *testCell, leader int) { c.killProcess(leader, 4*time.Second) }, false, lead.CauseSilent},
	} {
		t.Run(s.name, func(t *testing.T) {
			log := &logBuffer{}
			commons := newLoggingCommons(log, logrus.InfoLevel, systemClocks())
			synctest.Test(t, func(t *testing.T) {
				c := newTestCell(t, 1, commons)
				defer c.close()
				time.Sleep(4 * time.Second)
				log.take(t)
				s.stop(c, c.leaderIndex())
				time.Sleep(6 * time.Second)
				events := log.take(t)
				require.Len(t, events[common.EventTermEnds], 1)
				require.Equal(t, s.resigned, events[common.EventTermEnds][0]["resigned"])
				require.Contains(t, events[common.EventTermEnds][0], "agents")
				require.Len(t, events[common.EventTermClosed], 1)
				require.InDelta(t, 0, events[common.EventTermClosed][0]["starts"], 0)
				require.NotEmpty(t, events[common.EventClaimed])
				claim := events[common.EventClaimed][0]
				require.Equal(t, string(s.cause), claim["reason"])
				require.Positive(t, claim["age"])
			})
		})
	}
}
