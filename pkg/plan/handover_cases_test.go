package plan

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// newHandoverWithRun returns a cell in which the first leader has started one task on w0, which has recorded its workers.
func newHandoverWithRun(t tester, workers int) *handover {
	m := newHandover(t, workers)
	m.submit(testJob("a"))
	m.work(m.leader())
	require.Len(t, m.worker("w0").running, 1)
	return m
}

// end ends the term of the current leader: it resigns, or crashes and is missed after modelClaimDelay.
func (m *handover) endTerm(resigns bool) {
	if resigns {
		m.resign(m.leader())
		return
	}
	m.leader().deciding = false
	m.advance(modelClaimDelay)
}

// cut makes workers unreachable for a leader and its agents.
func (m *handover) cut(l *modelLeader, ids ...oleanderline.WorkerID) {
	for _, id := range ids {
		l.down[id] = true
	}
}

// modelPause is the time between the passes of a leader in these tests.
const modelPause = 100 * time.Millisecond

// workFor lets leaders work side by side.
func (m *handover) workFor(d time.Duration, leaders ...*modelLeader) {
	for end := m.now.Add(d); m.now.Before(end); m.advance(modelPause) {
		for _, l := range leaders {
			m.work(l)
		}
	}
}

// claimBeside begins the next term while the current leader, whose appends are not answered, continues by its majority.
func (m *handover) claimBeside() (first, second *modelLeader) {
	first = m.leader()
	first.cutFromLog = true
	m.workFor(modelClaimDelay, first)
	m.claim()
	return first, m.leader()
}

// Guards against a leader that stores a worker as unreachable and without tasks before the worker has reported to it, so that its
// successor starts the tasks that run there a second time.
func TestSuccessorDoesNotForgetRunsOfUnreportedWorkers(t *testing.T) {
	type scenario struct {
		name     string
		resigns  []bool // whether each of the first two leaders resigns or crashes
		recorded bool   // whether the first leader stored that the worker is unreachable, with its task
	}
	for _, s := range []scenario{
		{"both resign", []bool{true, true}, false},
		{"both crash", []bool{false, false}, false},
		{"resignation, then crash", []bool{true, false}, false},
		{"crash, then resignation", []bool{false, true}, false},
		{"both resign, worker stored as unreachable", []bool{true, true}, true},
	} {
		t.Run(s.name, func(t *testing.T) {
			m := newHandoverWithRun(t, 3)
			if s.recorded {
				m.cut(m.leader(), "w0")
				m.work(m.leader())
			}
			m.endTerm(s.resigns[0])
			m.claim()
			m.cut(m.leader(), "w0")
			m.work(m.leader())
			m.endTerm(s.resigns[1])
			m.claim()
			m.cut(m.leader(), "w0")
			m.workFor(8*time.Second, m.leader())
			require.NotZero(t, len(m.worker("w1").running)+len(m.worker("w2").running), "LOST: the lease has expired, but the task does not run again")
		})
	}
}

// Guards against a worker whose record is dropped although it has reported a run of a job that the leader has not read yet.
func TestUnreadRunKeepsItsWorkerRecorded(t *testing.T) {
	m := newHandover(t, 3)
	m.work(m.leader())
	first, second := m.claimBeside()
	m.submit(testJob("a"))
	m.work(first)
	require.Len(t, m.worker("w0").running, 1)
	m.renew(second, "w0", callAnswered)
	m.renew(second, "w0", callLost)
	m.resign(second)
	m.claim()
	m.cut(m.leader(), "w0")
	m.workFor(time.Second, m.leader())
}

func testJob(id oleanderline.JobID) oleanderline.Job {
	return oleanderline.Job{ID: id, Queue: "q", Policy: testQueue, Steps: []oleanderline.Step{{Count: 1, Size: testSize}}}
}

// Guards against a worker whose reports are ignored for good because it has restarted while its time of day was set back.
func TestWorkerRestartsWithAnEarlierTimeOfDay(t *testing.T) {
	m := newHandoverWithRun(t, 2)
	m.crash(m.worker("w0"))
	m.restart(m.worker("w0"), -3000)
	m.recover()
}

// Guards against two leaders that both count a majority because they count different workers: the second one then regards runs as
// expired which the first one still extends.
func TestMajoritiesOfTwoLeadersOverlap(t *testing.T) {
	type scenario struct {
		name    string
		workers int // of which the directory lists the first three at first
		change  func(m *handover, first *modelLeader)
	}
	for _, s := range []scenario{
		{"workers that the first leader has not stored", 5, func(m *handover, first *modelLeader) {
			m.listed["w3"], m.listed["w4"] = true, true
			m.readDirectory(first)
		}},
		{"workers that the first leader has dropped without storing it", 3, func(m *handover, first *modelLeader) {
			m.listed["w1"], m.listed["w2"] = false, false
			m.readDirectory(first)
		}},
	} {
		t.Run(s.name, func(t *testing.T) {
			m := newHandover(t, s.workers)
			for _, w := range m.workers[3:] {
				m.listed[w.id] = false
			}
			m.leaders = nil
			m.claim()
			m.submit(testJob("a"))
			m.work(m.leader())
			require.Len(t, m.worker("w0").running, 1)
			s.change(m, m.leader())
			m.cut(m.leader(), "w1", "w2")
			first, second := m.claimBeside()
			for _, w := range m.workers {
				m.listed[w.id] = true
			}
			m.readDirectory(second) // the first leader is cut off and reads no changes
			for _, w := range m.workers {
				second.down[w.id] = w.id != "w1" && w.id != "w2"
			}
			m.workFor(10*time.Second, first, second)
		})
	}
}

// Guards against leases of an earlier leader that count as expired because a link was replaced that has never reached the worker.
func TestReplacedLinkDoesNotExpireLeasesOfEarlierLeaders(t *testing.T) {
	m := newHandoverWithRun(t, 3)
	first, second := m.claimBeside()
	m.cut(first, "w2")
	m.cut(second, "w0", "w1")
	m.work(second)
	m.relink(second, "w0")
	m.relink(second, "w1")
	m.workFor(9*time.Second, first, second)
}

// Guards against a second run of an adopted task whose worker has restarted: an earlier leader, which the new incarnation no longer
// refuses, has seen that the run is gone and has started the task on a worker that the new leader does not reach.
func TestAdoptedRunGoneAfterARestart(t *testing.T) {
	m := newHandoverWithRun(t, 3)
	first, second := m.claimBeside()
	m.cut(second, "w1", "w2")
	m.renew(second, "w0", callAnswered)
	m.crash(m.worker("w0"))
	m.restart(m.worker("w0"), 1000)
	m.renew(first, "w0", callAnswered)
	m.cut(first, "w0")
	m.renew(first, "w0", callAnswered)
	m.place(first)
	m.sendAll(first)
	require.Len(t, slices.Concat(m.worker("w1").running, m.worker("w2").running), 1)
	m.workFor(8*time.Second, first, second)
	m.recover()
}

// Guards against a second run of an adopted task that an earlier leader has started again on the same worker, which had restarted: the
// new leader orders to stop the run that it does not expect, and starts the task elsewhere before that is done.
func TestAdoptedRunIsReplacedOnItsWorker(t *testing.T) {
	m := newHandoverWithRun(t, 3)
	first, second := m.claimBeside()
	m.work(second)
	m.cut(first, "w1", "w2")
	m.crash(m.worker("w0"))
	m.restart(m.worker("w0"), 1000)
	m.startAs(first, m.worker("w0"), oleanderline.RunKey{Task: taskOf("a", 0, 0), Run: 2})
	m.renew(second, "w0", callAnswered)
	m.place(second)
	m.deliver(second, "w1", callAnswered)
	m.deliver(second, "w2", callAnswered)
	m.recover()
}

// startAs makes a worker carry out a start of an earlier leader, however that came to be sent. The worker has restarted, so it does not
// refuse that leader.
func (m *handover) startAs(l *modelLeader, w *modelWorker, key oleanderline.RunKey) {
	m.advance(modelPause)
	order := Order{Kind: OrderStart, Worker: w.id, Life: w.life, Key: key}
	require.NoError(m.t, m.start(w, order, l.term, m.now.Add(modelLease)))
}

// Guards against a second run of a task whose worker an earlier leader does not reach any more: the leases that it has given have
// expired, but the new leader extends the run.
func TestLeasesThatTheNextLeaderExtends(t *testing.T) {
	m := newHandoverWithRun(t, 3)
	first, second := m.claimBeside()
	m.cut(first, "w0")
	m.cut(second, "w1", "w2")
	m.workFor(9*time.Second, first, second)
	require.Len(t, m.worker("w0").running, 1)
	m.recover()
}

// Guards against a second run of a task whose run is gone after a restart of its worker, while the worker lists a run that an earlier
// leader has started there since, and that is not stopped yet.
func TestTaskWaitsForTheStopOfAnUnexpectedRun(t *testing.T) {
	m := newHandover(t, 3)
	m.work(m.leader())
	first, second := m.claimBeside()
	m.submit(testJob("a"))
	m.readJobs(first)
	m.work(second)
	i := slices.IndexFunc(m.workers, func(w *modelWorker) bool { return len(w.running) == 1 })
	holder := m.workers[i]
	m.crash(holder)
	m.restart(holder, 1000)
	for _, w := range m.workers {
		if w != holder {
			m.cut(first, w.id)
		}
	}
	m.startAs(first, holder, oleanderline.RunKey{Task: taskOf("a", 0, 0), Run: 1})
	m.renew(second, holder.id, callAnswered)
	m.place(second)
	for _, w := range m.workers {
		if w != holder {
			m.deliver(second, w.id, callAnswered)
		}
	}
	m.recover()
}

// Guards against runs that the agents of a resigned leader extend beyond the time that its successor waits for them.
func TestAgentsOfAResignedLeader(t *testing.T) {
	m := newHandoverWithRun(t, 3)
	first := m.leader()
	m.endTerm(true)
	m.claim()
	second := m.leader()
	m.cut(second, "w0")
	for range 90 {
		m.advance(100 * time.Millisecond)
		m.renew(first, "w0", callAnswered)
		m.work(second)
	}
	require.NotZero(t, len(m.worker("w1").running)+len(m.worker("w2").running))
}

// Guards against a worker on which no task starts any more because it was removed and then listed again.
func TestRemovedWorkerIsServedAgain(t *testing.T) {
	m := newHandover(t, 1)
	m.work(m.leader())
	m.crash(m.worker("w0"))
	m.listed["w0"] = false
	m.readDirectory(m.leader())
	m.workFor(2*modelLeaseBound, m.leader())
	require.False(t, m.leader().planner.HasWorker("w0"))
	m.submit(testJob("a"))
	m.recover()
}

// Guards against an order of an ended leader that its agent sends to a worker which has restarted, and so no longer refuses it,
// after the next leader has started the task elsewhere.
func TestAgentOfAnEndedLeaderReachesARestartedWorker(t *testing.T) {
	m, first := newHandoverWithLateOrder(t)
	m.deliver(first, "w2", callAnswered)
}

// Guards against the same failure once the agent has read a report of the new incarnation of the worker.
func TestAgentOfAnEndedLeaderKnowsOfARestart(t *testing.T) {
	m, first := newHandoverWithLateOrder(t)
	m.renew(first, "w2", callAnswered)
	m.deliver(first, "w2", callAnswered)
	require.Empty(t, m.worker("w2").running)
	m.recover()
}

// newHandoverWithLateOrder returns a cell in which an agent of the first leader, which has ended, has not yet sent the order to start a
// task on w2. The next leader has started the task on w0, and then w2 has restarted.
func newHandoverWithLateOrder(t tester) (m *handover, first *modelLeader) {
	m = newHandover(t, 3)
	first = m.leader()
	m.work(first)
	m.listed["w0"], m.listed["w1"] = false, false
	m.readDirectory(first)
	m.submit(testJob("a"))
	m.readJobs(first)
	m.place(first)
	m.listed["w0"], m.listed["w1"] = true, true
	m.endTerm(true)
	m.claim()
	m.work(m.leader())
	require.Len(t, m.worker("w0").running, 1)
	m.crash(m.worker("w2"))
	m.restart(m.worker("w2"), 1000)
	return m, first
}

// Guards against a second run of tasks on a worker that was back under its id when an order of the leader for its former life arrived,
// and is cut off when the leader is lost: the new incarnation granted its longest lease to all that ran there, of which the next leader
// does not know.
func TestLeaderIsLostAfterAWorkerHasRestarted(t *testing.T) {
	type scenario struct {
		name    string
		outcome callOutcome // of the order for the former life
	}
	for _, s := range []scenario{{"answered", callAnswered}, {"answered late", callAnswerLate}, {"not answered", callAnswerLost}} {
		t.Run(s.name, func(t *testing.T) {
			m := newHandover(t, 3)
			first := m.leader()
			m.work(first)
			m.listed["w1"], m.listed["w2"] = false, false
			m.readDirectory(first)
			m.submit(testJob("a"))
			m.readJobs(first)
			m.place(first)
			m.crash(m.worker("w0"))
			m.restart(m.worker("w0"), 1000)
			m.deliver(first, "w0", s.outcome)
			m.submit(testJob("b"))
			m.workFor(time.Second, first)
			require.NotEmpty(t, m.worker("w0").running)

			m.listed["w1"], m.listed["w2"] = true, true
			m.cut(first, "w0")
			m.endTerm(false)
			m.claim()
			m.cut(m.leader(), "w0")
			m.workFor(8*time.Second, m.leader())
			require.Len(t, slices.Concat(m.worker("w1").running, m.worker("w2").running), 2)
		})
	}
}

// Guards against a second run of a task that a leader without the log starts on a worker whose restart it has noticed: the new incarnation
// does not refuse it, and the next leader, of which it does not know, has started the task elsewhere.
func TestLeaderWithoutTheLogStartsNothingOnARestartedWorker(t *testing.T) {
	m := newHandoverWithRun(t, 3)
	first, second := m.claimBeside()
	m.crash(m.worker("w0"))
	m.restart(m.worker("w0"), 1000)
	m.cut(first, "w1", "w2")
	m.workFor(2*time.Second, first)
	require.Empty(t, m.worker("w0").running)
	m.cut(second, "w0")
	m.workFor(10*time.Second, first, second)
	m.recover()
}
