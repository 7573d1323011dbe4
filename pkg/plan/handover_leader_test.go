package plan

import (
	"slices"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

// callOutcome is what happens to one call to a worker.
type callOutcome int

const (
	callAnswered    callOutcome = iota
	callAnswerLate              // executed; the answer arrives later
	callAnswerLost              // executed; the answer is lost
	callLost                    // not executed; the caller cannot tell
	callUnavailable             // not executed; the caller knows
	callLate                    // executed later; the caller cannot tell
)

// takeOrders queues what the planner has decided.
func (m *handover) takeOrders(l *modelLeader) {
	for _, order := range l.planner.Orders() {
		if l.links[order.Worker] == nil {
			m.answer(l, Result{Order: order, Err: oleanderline.ErrUnavailable}, true)
			continue
		}
		l.orders = append(l.orders, decidedOrder{order, m.now})
	}
	l.planner.Notes()
}

// place runs a scheduling pass.
func (m *handover) place(l *modelLeader) {
	m.advance(modelCallTime)
	if until := l.planner.MajorityUntil(); !until.IsZero() {
		l.majorityUntil = until
	}
	l.planner.Place(m.now, m.now, maxStartsPerPass)
	m.takeOrders(l)
}

// deliver sends the oldest order for a worker.
func (m *handover) deliver(l *modelLeader, id oleanderline.WorkerID, outcome callOutcome) {
	i := slices.IndexFunc(l.orders, func(o decidedOrder) bool { return o.order.Worker == id })
	if i < 0 {
		return
	}
	next := l.orders[i]
	link := l.links[id]
	if !link.clockKnown && m.authority(l) {
		return // an order needs the worker's clock
	}
	l.orders = slices.Delete(l.orders, i, i+1)
	m.advance(modelCallTime)
	result := Result{Order: next.order, Err: oleanderline.ErrUnavailable}
	if l.down[id] {
		outcome = max(outcome, callLost)
	}
	restarted := next.order.Kind == OrderStart && link.clockKnown && next.order.Life != link.life
	if m.authority(l) && m.now.Sub(next.at) <= modelOrderAge && !restarted {
		w := m.worker(id)
		if next.order.Kind == OrderStart {
			link.leaseEnd = common.Later(link.leaseEnd, m.now.Add(modelLeaseBound))
		}
		if next.order.Kind != OrderStart || link.reaches(w) {
			if next.order.Kind == OrderStart {
				m.checkCopy(l, next.order)
			}
			result = m.send(l, lateStart{next.order, l.term, w.life, m.now.Add(w.lease(link.life))}, outcome)
		}
	}
	m.advance(modelCallTime)
	m.answer(l, result, outcome == callAnswerLate)
}

// send executes an order with the given outcome.
func (m *handover) send(l *modelLeader, call lateStart, outcome callOutcome) Result {
	uncertain := Result{Order: call.order, Err: oleanderline.ErrUncertain, Attempts: 3}
	switch outcome {
	case callLost:
		return uncertain
	case callUnavailable:
		return Result{Order: call.order, Err: oleanderline.ErrUnavailable, Attempts: 1}
	case callLate:
		if call.order.Kind == OrderStart {
			m.late = append(m.late, call)
		}
		return uncertain
	}
	err := m.execute(call)
	if outcome == callAnswerLost && err == nil {
		return uncertain
	}
	if isRefusedTerm(err) {
		l.fenced = true
	}
	return Result{Order: call.order, Err: err, Attempts: 1}
}

func (m *handover) execute(call lateStart) error {
	w := m.worker(call.order.Worker)
	switch call.order.Kind {
	case OrderStart:
		return m.start(w, call.order, call.term, call.deadline)
	case OrderStop:
		return m.stop(w, call.order, call.term)
	}
	return nil
}

// executeLate executes the oldest late start, unless its worker has restarted since.
func (m *handover) executeLate() {
	call := m.late[0]
	m.late = m.late[1:]
	m.advance(modelCallTime)
	if w := m.worker(call.order.Worker); w.up && w.life == call.life {
		_ = m.execute(call) // nobody waits for the answer
	}
}

// answer passes the result of an order to the leader, now or later.
func (m *handover) answer(l *modelLeader, result Result, late bool) {
	switch {
	case !l.deciding || l.fenced:
	case late:
		l.results = append(l.results, result)
	default:
		l.planner.HandleResult(result, m.now)
		m.takeOrders(l)
	}
}

// renew sends a renewal, as pkg/link does: it extends the lease only once the worker's clock is known and if the last call succeeded.
func (m *handover) renew(l *modelLeader, id oleanderline.WorkerID, outcome callOutcome) {
	w, link := m.worker(id), l.links[id]
	if !m.authority(l) {
		return
	}
	sent := m.now
	m.advance(modelCallTime)
	extends := link.clockKnown && !link.failing && link.reaches(w)
	if extends {
		link.leaseEnd = common.Later(link.leaseEnd, sent.Add(modelLeaseBound))
	}
	if !w.up || l.down[id] || outcome >= callLost {
		m.callFailed(l, id)
		return
	}
	if l.term < w.term {
		l.fenced = true
		return
	}
	w.term = l.term
	if extends {
		w.deadline = common.Later(w.deadline, sent.Add(w.lease(link.life)))
	}
	if link.acked > 0 && link.life == w.life {
		m.acknowledge(w, link.acked)
	}
	report := oleanderline.WorkerReport{Life: w.life, Ended: slices.Clone(w.ended)}
	running := slices.Clone(w.running)
	slices.SortFunc(running, compareRuns)
	for _, key := range running {
		report.Running = append(report.Running, oleanderline.RunStatus{Key: key, Percent: m.percent()})
	}
	m.advance(modelCallTime)
	if outcome == callAnswerLost {
		m.callFailed(l, id)
		return
	}
	if !link.clockKnown {
		link.leaseEnd = common.Later(link.leaseEnd, m.now.Add(modelLeaseBound))
	}
	link.clockKnown, link.failing = true, false
	if link.life != w.life {
		link.life, link.acked = w.life, 0
		if link.inherited.Life == w.life {
			link.acked = link.inherited.Number
		}
	}
	l.reports = append(l.reports, delayedReport{id, report, sent})
	if outcome == callAnswered {
		m.handleReports(l)
	}
}

// relink replaces the link to a worker, as after the loss of an agent or a change of the worker's address. The new link takes over
// the latest expiry of leases that may be given over the old one.
func (m *handover) relink(l *modelLeader, id oleanderline.WorkerID) {
	old := l.links[id]
	end := common.Later(m.authorityEnd(l), m.now).Add(modelLeaseBound)
	l.links[id] = &modelLink{inherited: l.planner.Acked(id), leaseEnd: common.Later(old.leaseEnd, end)}
	l.planner.SetServed(id, false)
	l.planner.SetServed(id, true)
	m.dropOrders(l, id)
}

// connect opens a link to each worker that has none, and closes the links of workers that the planner has removed, as
// term.Session.connectWorkers does. A removed worker that is listed again is a new one to the planner and gets a new link.
func (m *handover) connect(l *modelLeader) {
	for _, w := range m.workers {
		link := l.links[w.id]
		switch known := l.planner.HasWorker(w.id); {
		case known && link == nil:
			l.links[w.id] = &modelLink{inherited: l.planner.Acked(w.id)}
			l.planner.SetServed(w.id, true)
		case !known && link != nil:
			l.planner.SetServed(w.id, false)
			delete(l.links, w.id)
			m.dropOrders(l, w.id)
		}
	}
}

// dropOrders gives the orders for a worker whose link is closed an uncertain result.
func (m *handover) dropOrders(l *modelLeader, id oleanderline.WorkerID) {
	for i := 0; i < len(l.orders); i++ {
		if next := l.orders[i]; next.order.Worker == id {
			l.orders = slices.Delete(l.orders, i, i+1)
			i--
			m.answer(l, Result{Order: next.order, Err: oleanderline.ErrUncertain, Attempts: 2}, true)
		}
	}
}

// percent returns the progress of every run, which rises at all times so that no run counts as stuck.
func (m *handover) percent() int { return int(m.now.UnixMilli() % 100) }

func (m *handover) callFailed(l *modelLeader, id oleanderline.WorkerID) {
	link := l.links[id]
	link.failing = true
	if l.deciding {
		l.planner.CallFailed(id, oleanderline.ErrUncertain)
	}
	if l.deciding && m.leaseExpired(l, id) && !l.lastAppend.Before(link.leaseEnd) {
		l.planner.LeaseExpired(id, Expiry{End: link.leaseEnd}, m.now)
		m.takeOrders(l)
	}
}

// leaseExpired reports whether the link of a leader regards the lease of a worker as expired. If it has reached the worker, which
// refuses earlier leaders since then, the lease must in fact have expired, unless a later leader extends it, and no start may be under
// way.
func (m *handover) leaseExpired(l *modelLeader, id oleanderline.WorkerID) bool {
	w, link := m.worker(id), l.links[id]
	if link.leaseEnd.IsZero() || !m.now.After(link.leaseEnd) {
		return false
	}
	underWay := slices.ContainsFunc(m.late, func(call lateStart) bool { return call.order.Worker == id && call.deadline.After(m.now) })
	return !link.clockKnown || w.term > l.term || (!underWay && (!w.up || m.now.After(w.deadline)))
}

// handleReports passes all reports on their way to the leader.
func (m *handover) handleReports(l *modelLeader) {
	reports := l.reports
	l.reports = nil
	if !l.deciding {
		return
	}
	for _, r := range reports {
		l.planner.Report(r.worker, r.report, r.sent, m.now)
	}
	m.takeOrders(l)
}

// handleResults passes all late answers to the leader.
func (m *handover) handleResults(l *modelLeader) {
	results := l.results
	l.results = nil
	for _, result := range results {
		m.answer(l, result, false)
	}
}

// flush appends the leader's records. A leader of an earlier term is refused. If the answer is lost with the leader, the planner
// does not learn that the records are stored.
func (m *handover) flush(l *modelLeader, answered bool) {
	m.advance(modelCallTime)
	if l.append == nil {
		l.append = m.collect(l)
	}
	if l.cutFromLog {
		return
	}
	if l != m.leader() {
		l.fenced = true
		return
	}
	stored := l.append
	l.append = nil
	for _, rec := range stored.records {
		m.stored[rec.Key] = rec
	}
	l.lastAppend = m.now
	if !answered {
		l.deciding = false
		return
	}
	for _, id := range stored.workers {
		l.planner.WorkerRecorded(id)
	}
	for id, acked := range l.planner.Flushed(stored.ends) {
		if link := l.links[id]; link != nil && link.life == acked.Life {
			link.acked = max(link.acked, acked.Number)
		}
	}
}

// collect takes the records that the planner hands out.
func (m *handover) collect(l *modelLeader) *pendingAppend {
	records, ends, err := l.planner.Flush()
	require.NoError(m.t, err)
	workers, ids, err := l.planner.Records()
	require.NoError(m.t, err)
	m.connect(l)
	return &pendingAppend{records: append(records, workers...), ends: ends, workers: ids}
}

// resign stores the leader's last records and its resignation.
func (m *handover) resign(l *modelLeader) {
	m.flush(l, true)
	l.deciding, l.resigned = false, true
}

// submit stores a job. Leaders learn of it when they next read the log.
func (m *handover) submit(job oleanderline.Job) { m.jobs = append(m.jobs, job) }

func (m *handover) readJobs(l *modelLeader) {
	if l.cutFromJobs {
		return
	}
	for ; l.jobsRead < len(m.jobs); l.jobsRead++ {
		l.planner.AddJob(m.jobs[l.jobsRead], m.progress(m.jobs[l.jobsRead].ID), m.now, 0)
	}
}

func isRefusedTerm(err error) bool {
	refused, ok := err.(*oleanderline.RefusedError)
	return ok && refused.Reason == oleanderline.RefusedTerm
}
