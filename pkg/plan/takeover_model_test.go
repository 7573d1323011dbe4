package plan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

const (
	takeoverWorkers = 4
	modelStep       = 100 * time.Millisecond
	modelSteps      = 300
)

// takeoverModel is a cell in which calls fail, orders are carried out without an answer, flushes are lost and leaders change at random.
type takeoverModel struct {
	*testCell
	random   *rand.Rand
	claims   int
	silent   map[oleanderline.WorkerID]bool
	deadline map[oleanderline.WorkerID]time.Time // end of the leases on a worker
	granted  map[oleanderline.WorkerID]time.Time // what this term's leader knows of it; zero if the worker has not answered
	results  []Result
	jobs     int
}

func (m *takeoverModel) ids() []oleanderline.WorkerID {
	ids := make([]oleanderline.WorkerID, 0, takeoverWorkers)
	for i := range takeoverWorkers {
		ids = append(ids, oleanderline.WorkerID(fmt.Sprintf("w%d", i)))
	}
	return ids
}

func (m *takeoverModel) expire() {
	for id, w := range m.workers {
		if !m.now.Before(m.deadline[id]) {
			clear(w.running)
		}
	}
}

func (m *takeoverModel) call(id oleanderline.WorkerID) {
	if m.silent[id] {
		m.planner.CallFailed(id, oleanderline.ErrUncertain)
		if end := m.granted[id]; !end.IsZero() && m.now.After(end) {
			m.planner.LeaseExpired(id, Expiry{End: end}, m.now)
		}
		return
	}
	m.deadline[id] = m.now.Add(testSettings().Lease)
	m.granted[id] = m.deadline[id].Add(modelStep)
	w := m.workers[id]
	report := oleanderline.WorkerReport{Life: testIncarnation, Ended: w.ended}
	for _, status := range w.running {
		report.Running = append(report.Running, status)
	}
	m.planner.Report(id, report, m.now, m.now)
}

func (m *takeoverModel) carryOut() {
	for _, order := range m.planner.Orders() {
		w := m.workers[order.Worker]
		result := Result{Order: order, Attempts: 1}
		executed := !m.silent[order.Worker]
		switch {
		case m.random.IntN(6) == 0:
			result.Attempts, result.Err, executed = 0, oleanderline.ErrUnavailable, false
		case !executed || m.random.IntN(6) == 0:
			result.Attempts, result.Err = 2, oleanderline.ErrUncertain
		}
		if executed {
			switch order.Kind {
			case OrderStart:
				w.running[order.Key] = oleanderline.RunStatus{Key: order.Key}
				m.deadline[order.Worker] = m.now.Add(testSettings().Lease)
			case OrderStop:
				w.end(order.Key, oleanderline.EndStopped)
			}
		}
		if order.Kind == OrderStart && result.Attempts > 0 && !m.granted[order.Worker].IsZero() {
			m.granted[order.Worker] = m.now.Add(testSettings().Lease + modelStep)
		}
		m.results = append(m.results, result)
	}
}

func (m *takeoverModel) deliverSome() {
	m.results = slices.DeleteFunc(m.results, func(r Result) bool {
		if m.random.IntN(3) == 0 {
			return false
		}
		m.planner.HandleResult(r, m.now)
		return true
	})
}

func (m *takeoverModel) changeLeader() {
	if m.random.IntN(2) == 0 { // a flush that is stored just before the term ends
		_, _, err := m.planner.Flush()
		require.NoError(m.t, err)
		records, _, err := m.planner.Records()
		require.NoError(m.t, err)
		m.stored = append(m.stored, records...)
	}
	m.claims++
	m.newTerm(m.claims)
	clear(m.granted)
	m.results = nil
}

func (m *takeoverModel) checkRuns() {
	seen := map[oleanderline.TaskKey]oleanderline.WorkerID{}
	for id, w := range m.workers {
		for key := range w.running {
			other, twice := seen[key.Task]
			require.False(m.t, twice, "%s runs on %s and %s in term %d", key.Task, id, other, m.claims)
			seen[key.Task] = id
		}
	}
}

func runTakeoverModel(t *testing.T, seed uint64, gangs bool) {
	m := &takeoverModel{
		testCell: newCell(t, takeoverWorkers), random: rand.New(rand.NewPCG(seed, 7)), claims: 1, silent: map[oleanderline.WorkerID]bool{},
		deadline: map[oleanderline.WorkerID]time.Time{}, granted: map[oleanderline.WorkerID]time.Time{},
	}
	for range modelSteps {
		m.advance(modelStep)
		m.expire()
		for _, id := range m.ids() {
			if m.random.IntN(25) == 0 {
				m.silent[id] = !m.silent[id]
			}
			if m.random.IntN(3) > 0 {
				m.call(id)
			}
			if m.random.IntN(120) == 0 { // the worker starts anew under its id
				clear(m.workers[id].running)
			}
		}
		if m.random.IntN(4) == 0 && m.jobs < 12 {
			m.jobs++
			m.add(oleanderline.JobID(fmt.Sprint(m.jobs)), oleanderline.Step{Count: 2, Size: testSize, Gang: gangs && m.random.IntN(3) == 0, LongRunning: true})
		}
		if m.random.IntN(20) == 0 { // a directory that lacks some workers
			var entries []oleanderline.WorkerEntry
			for _, entry := range m.entries {
				if m.random.IntN(3) > 0 {
					entries = append(entries, entry)
				}
			}
			m.planner.SetWorkers(entries, m.now)
		} else {
			m.planner.SetWorkers(m.entries, m.now)
		}
		for _, id := range m.ids() {
			if w := m.planner.workers[id]; w != nil && w.service == serviceNone {
				m.planner.SetServed(id, true)
			}
		}
		m.carryOut()
		m.deliverSome()
		m.planner.Place(m.now, m.now, maxStartsPerPass)
		m.carryOut()
		m.checkRuns()
		m.planner.Notes()
		if m.random.IntN(2) == 0 {
			m.flush()
		}
		if m.random.IntN(25) == 0 {
			m.changeLeader()
		}
	}
}

// Guards against a second run of a task for which a leader takes a worker without a report for one without runs.
func TestNoTaskRunsTwiceOverManyTerms(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runTakeoverModel(t, seed, false) })
	}
}

// Guards against the same with gangs.
func TestNoTaskOfAGangRunsTwiceOverManyTerms(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runTakeoverModel(t, seed, true) })
	}
}
