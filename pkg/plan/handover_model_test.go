package plan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// Times of the model, which are those of a node. All clocks of the model agree; the bounds of a lease allow for slow clocks.
const (
	modelClaimDelay = 1500 * time.Millisecond // without a record of the leader, before another process claims
	modelLogOutage  = 10 * time.Second        // for which a leader gives orders without an answer of the log
	modelLease      = 4080 * time.Millisecond // from a renewal to its expiry on the slowest worker
	modelLeaseBound = 4150 * time.Millisecond // from a renewal to the time at which the leader regards it as expired
	modelMaxLease   = 10 * time.Second        // to which a worker shortens a longer lease
	modelOrderAge   = time.Second             // highest age of an order when it is sent
	modelStopGrace  = 500 * time.Millisecond  // bound of the time that a worker takes to stop a run
	modelCallTime   = time.Millisecond        // duration of each action
	modelBorn       = 1_000_000               // first incarnation of each worker
)

func modelSettings() Settings {
	return Settings{
		Settle: 700 * time.Millisecond, Horizon: modelLogOutage + 4400*time.Millisecond, Majority: modelClaimDelay, Lease: 4400 * time.Millisecond,
		StopGrace: modelStopGrace,
	}
}

// tester is implemented by *testing.T and *rapid.T.
type tester interface {
	require.TestingT
	Helper()
	Logf(format string, args ...any)
	Fatalf(format string, args ...any)
}

// handover models a cell around a series of planners, each of them the leader of one term: the log, the workers with their leases
// and fences, and calls that are lost, late or answered late. It fails the test on a second run of a task.
type handover struct {
	t       tester
	now     time.Time
	stored  map[string]oleanderline.KeyedRecord // newest record of each key
	jobs    []oleanderline.Job                  // in the order in which they were stored
	workers []*modelWorker
	listed  map[oleanderline.WorkerID]bool // workers in the directory
	leaders []*modelLeader                 // by term; the last one is the current leader
	late    []lateStart
	started map[oleanderline.RunKey]oleanderline.WorkerID // runs of tasks with copies
	acked   map[oleanderline.TaskKey]time.Time            // when a worker was first told that the end "done" of the task is recorded
}

// modelWorker executes orders and keeps what it reports.
type modelWorker struct {
	id       oleanderline.WorkerID
	up       bool
	life     oleanderline.WorkerIncarnation
	term     int
	deadline time.Time
	running  []oleanderline.RunKey
	ended    []oleanderline.RunEnd
	lastEnd  int64
	highest  map[oleanderline.TaskKey]int // highest run that was stopped or has ended
	expired  int64                        // highest end that was followed by the expiry of the deadline
}

// modelLeader is one term: its planner, and the links of it and its agents to the workers. After a crash or a resignation the
// planner decides nothing more, but agents carry out what was decided before.
type modelLeader struct {
	term          int
	planner       *Planner
	deciding      bool
	resigned      bool
	fenced        bool
	cutFromLog    bool           // its appends are not answered
	append        *pendingAppend // retried until it is answered
	cutFromJobs   bool           // it reads no new jobs
	lastAppend    time.Time      // when the newest stored append was sent
	majorityUntil time.Time
	jobsRead      int
	orders        []decidedOrder
	results       []Result // on their way to the leader
	reports       []delayedReport
	links         map[oleanderline.WorkerID]*modelLink
	down          map[oleanderline.WorkerID]bool // workers whose calls are lost, over any link
}

// pendingAppend holds records that the planner has handed out, and what it learns once they are stored.
type pendingAppend struct {
	records []oleanderline.KeyedRecord
	ends    EndNumbers
	workers []oleanderline.WorkerID
}

type modelLink struct {
	clockKnown bool
	failing    bool
	// leaseEnd is until when leases may last that were given over this link or an earlier one to the worker; zero if there were none.
	leaseEnd time.Time
	life     oleanderline.WorkerIncarnation
	acked    int64
	// inherited is the newest recorded end when the link was opened.
	inherited Acked
}

type decidedOrder struct {
	order Order
	at    time.Time
}

type delayedReport struct {
	worker oleanderline.WorkerID
	report oleanderline.WorkerReport
	sent   time.Time
}

// lease returns how long a lease lasts that a call with a deadline on the clock of an incarnation gives. The clock of a worker starts anew
// with each incarnation, so a deadline on the clock of an earlier one is far ahead, and the worker shortens it to modelMaxLease.
func (w *modelWorker) lease(life oleanderline.WorkerIncarnation) time.Duration {
	if life != w.life {
		return modelMaxLease
	}
	return modelLease
}

// reaches reports whether a call for the incarnation that the link knows would reach the worker. Over the connections of a runner it
// reaches no later incarnation: platform.TestCallsReachNoLaterIncarnation.
func (l *modelLink) reaches(w *modelWorker) bool { return l.life == w.life }

// lateStart is a start that reaches its worker late, unless the worker has restarted by then.
type lateStart struct {
	order    Order
	term     int
	life     oleanderline.WorkerIncarnation
	deadline time.Time
}

func newHandover(t tester, workers int) *handover {
	m := &handover{
		t: t, now: time.Unix(1000, 0), stored: map[string]oleanderline.KeyedRecord{}, listed: map[oleanderline.WorkerID]bool{},
		acked: map[oleanderline.TaskKey]time.Time{}, started: map[oleanderline.RunKey]oleanderline.WorkerID{},
	}
	for i := range workers {
		w := &modelWorker{id: oleanderline.WorkerID(fmt.Sprintf("w%d", i)), up: true, highest: map[oleanderline.TaskKey]int{}, life: modelBorn}
		m.workers = append(m.workers, w)
		m.listed[w.id] = true
	}
	m.claim()
	return m
}

func (m *handover) leader() *modelLeader { return m.leaders[len(m.leaders)-1] }

func (m *handover) worker(id oleanderline.WorkerID) *modelWorker {
	for _, w := range m.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// claim begins the next term. Its planner knows every record up to now, as the claimant reads the log to its end.
func (m *handover) claim() {
	l := &modelLeader{
		term: len(m.leaders) + 1, deciding: true, lastAppend: m.now, jobsRead: len(m.jobs),
		links: map[oleanderline.WorkerID]*modelLink{}, down: map[oleanderline.WorkerID]bool{},
	}
	l.planner = New(modelSettings(), l.term, m.now)
	l.planner.SetConfig(testConfig)
	for _, job := range m.jobs {
		l.planner.AddJob(job, m.progress(job.ID), m.now, 0)
	}
	for _, key := range sortedKeys(m.stored) {
		rec := m.stored[key]
		if kind, id := record.ParseKey(rec.Key); kind == record.KindWorker && len(rec.Value) > 0 {
			w, err := record.Decode[record.Worker](rec)
			require.NoError(m.t, err)
			w.ID = oleanderline.WorkerID(id)
			l.planner.InheritWorker(w)
		}
	}
	m.leaders = append(m.leaders, l)
	m.readDirectory(l)
}

func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (m *handover) progress(id oleanderline.JobID) record.Progress {
	var empty record.Progress
	rec, err := record.ForProgress(id, &empty)
	require.NoError(m.t, err)
	stored, ok := m.stored[rec.Key]
	if !ok {
		return empty
	}
	progress, err := record.Decode[record.Progress](stored)
	require.NoError(m.t, err)
	return progress
}

func (m *handover) readDirectory(l *modelLeader) {
	var entries []oleanderline.WorkerEntry
	for _, w := range m.workers {
		if m.listed[w.id] {
			entries = append(entries, oleanderline.WorkerEntry{
				ID: w.id, Address: string(w.id), Pool: "pool", Capacity: oleanderline.Size{CPU: 4000, Memory: 8000},
			})
		}
	}
	l.planner.SetWorkers(entries, m.now)
	m.connect(l)
}

// authority reports whether a leader and its agents may give orders now, as term.Session.Authority does.
func (m *handover) authority(l *modelLeader) bool {
	return !l.fenced && m.now.Before(m.authorityEnd(l))
}

func (m *handover) authorityEnd(l *modelLeader) time.Time {
	majorityEnd := l.majorityUntil
	if outageEnd := l.lastAppend.Add(modelLogOutage); majorityEnd.After(outageEnd) {
		majorityEnd = outageEnd
	}
	return common.Later(l.lastAppend.Add(modelClaimDelay), majorityEnd)
}

// advance lets time pass. Workers end the runs whose lease expires.
func (m *handover) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for _, w := range m.workers {
		if w.up && !w.deadline.After(m.now) {
			for _, key := range slices.Clone(w.running) {
				w.end(key, oleanderline.EndExpired)
			}
			w.expired = w.lastEnd
		}
	}
}

func (w *modelWorker) end(key oleanderline.RunKey, how oleanderline.EndKind) {
	w.running = slices.DeleteFunc(w.running, func(k oleanderline.RunKey) bool { return k == key })
	w.lastEnd++
	w.ended = append(w.ended, oleanderline.RunEnd{Number: w.lastEnd, Key: key, How: how})
	w.highest[key.Task] = max(w.highest[key.Task], key.Run)
}

// allowsCopies reports whether two runs of a task may be in progress at the same time.
func (m *handover) allowsCopies(task oleanderline.TaskKey) bool {
	for i := range m.jobs {
		if m.jobs[i].ID == task.Job {
			return m.jobs[i].Steps[task.Step].AllowsCopies()
		}
	}
	return false
}

// start executes a start on a worker, and fails the test if the task runs elsewhere or is known to be done, unless copies of it are allowed:
// see checkCopy.
func (m *handover) start(w *modelWorker, order Order, term int, deadline time.Time) error {
	switch {
	case !w.up:
		return oleanderline.ErrUnavailable
	case term < w.term:
		return &oleanderline.RefusedError{Reason: oleanderline.RefusedTerm}
	}
	w.term = term
	if !deadline.After(m.now) {
		return &oleanderline.RefusedError{Reason: oleanderline.RefusedExpired}
	}
	w.deadline = common.Later(w.deadline, deadline)
	if slices.Contains(w.running, order.Key) {
		return nil
	}
	if order.Key.Run <= w.highest[order.Key.Task] {
		return &oleanderline.RefusedError{Reason: oleanderline.RefusedStale}
	}
	if m.allowsCopies(order.Key.Task) {
		w.running = append(w.running, order.Key)
		return nil
	}
	for _, other := range m.workers {
		for _, key := range other.running {
			if key.Task == order.Key.Task {
				m.t.Fatalf("TWICE: %s run %d starts on %s in term %d while run %d is active on %s", key.Task, order.Key.Run, w.id, term, key.Run, other.id)
			}
		}
	}
	if _, acked := m.acked[order.Key.Task]; acked {
		m.t.Fatalf("TWICE: %s run %d starts on %s in term %d after its end was acknowledged", order.Key.Task, order.Key.Run, w.id, term)
	}
	w.running = append(w.running, order.Key)
	return nil
}

// checkCopy fails the test if the current leader sends a start of a task of which copies are allowed, although the task has long been known to
// be done, or uses a run number for the second time.
func (m *handover) checkCopy(l *modelLeader, order Order) {
	if l != m.leader() || !m.allowsCopies(order.Key.Task) {
		return
	}
	if at, acked := m.acked[order.Key.Task]; acked && m.now.Sub(at) > modelOrderAge {
		m.t.Fatalf("TWICE: %s run %d is started in term %d %s after its end was acknowledged", order.Key.Task, order.Key.Run, l.term, m.now.Sub(at))
	}
	if id, used := m.started[order.Key]; used && id != order.Worker {
		m.t.Fatalf("run %d of %s is started on %s and on %s", order.Key.Run, order.Key.Task, id, order.Worker)
	}
	m.started[order.Key] = order.Worker
}

func (m *handover) stop(w *modelWorker, order Order, term int) error {
	switch {
	case !w.up:
		return oleanderline.ErrUnavailable
	case term < w.term:
		return &oleanderline.RefusedError{Reason: oleanderline.RefusedTerm}
	}
	w.term = term
	if slices.Contains(w.running, order.Key) {
		w.end(order.Key, oleanderline.EndStopped)
		return nil
	}
	w.highest[order.Key.Task] = max(w.highest[order.Key.Task], order.Key.Run)
	return nil
}

// acknowledge makes a worker forget the ends up to a number. It fails the test if a task that is done runs again.
func (m *handover) acknowledge(w *modelWorker, number int64) {
	kept := w.ended[:0]
	for _, end := range w.ended {
		if end.Number > number {
			kept = append(kept, end)
			continue
		}
		if end.How != oleanderline.EndDone || end.Number <= w.expired {
			continue
		}
		if _, acked := m.acked[end.Key.Task]; !acked {
			m.acked[end.Key.Task] = m.now
		}
		if m.allowsCopies(end.Key.Task) {
			continue
		}
		for _, other := range m.workers {
			for _, key := range other.running {
				if key.Task == end.Key.Task {
					m.t.Fatalf("TWICE: the end of %s run %d is acknowledged while run %d is active on %s", key.Task, end.Key.Run, key.Run, other.id)
				}
			}
		}
	}
	w.ended = kept
}

// crash ends all runs of a worker, and the calls of all leaders that wait for its answer.
func (m *handover) crash(w *modelWorker) {
	w.up, w.running, w.ended = false, nil, nil
	for _, l := range m.leaders {
		if l.links[w.id] != nil && m.authority(l) {
			m.callFailed(l, w.id)
		}
	}
}

// restart starts a new incarnation of a worker, whose time of day has changed by step since the previous start.
func (m *handover) restart(w *modelWorker, step oleanderline.WorkerIncarnation) {
	w.up, w.life, w.term, w.deadline, w.lastEnd, w.expired = true, w.life+step, 0, time.Time{}, 0, 0
	w.highest = map[oleanderline.TaskKey]int{}
}

func compareRuns(a, b oleanderline.RunKey) int {
	return cmp.Or(cmp.Compare(a.Task.String(), b.Task.String()), cmp.Compare(a.Run, b.Run))
}
