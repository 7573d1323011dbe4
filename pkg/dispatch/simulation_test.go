package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
	"github.com/oleanderline/oleanderline/pkg/slots"
)

// policy is a dispatch policy: that of Core or a baseline.
type policy int

const (
	policyCore        policy = iota
	policyRandom             // on arrival, assigns to a random minion, which queues
	policyLeastLoaded        // on arrival, assigns to the minion with the fewest requests in flight from this entry
)

const (
	minionDelay = 750 * time.Microsecond // one-way network delay: three of four minions are in another failure domain
	peerDelay   = time.Millisecond       // one-way network delay between entries
	callTimeout = time.Second            // of an exchange with a minion
)

// call is one request of a workload; arrivesAt is relative to the start of the workload, and entry is the index of the
// receiving entry.
type call struct {
	arrivesAt time.Duration
	entry     int
	runTime   time.Duration
	class     string
	timeout   time.Duration // from arrival to deadline; zero: no deadline

	priority rules.Priority
	hedgeRun time.Duration // run time of the second copy
	declared bool          // a rule declares the class, as long
}

// result is the outcome of a call for its caller.
type result struct {
	*call
	answered bool
	reason   Reason
	elapsed  time.Duration
}

// simulation runs a workload against entries and minions on virtual time.
type simulation struct {
	events
	rand        *rand.Rand
	policy      policy
	entries     []*simEntry
	minions     []*simMinion
	byID        map[oleanderline.MinionID]*simMinion
	results     []result
	maxQueued   int // limit of queued requests, over all entries or all minions
	overcommits int // exchanges that arrived at a minion whose slots were all busy
	loans       int
	hedging     bool // calls are idempotent and hedged
	sends       map[oleanderline.MinionID]int
}

// simEntry is an entry, with a Core or a baseline policy.
type simEntry struct {
	sim     *simulation
	id      oleanderline.VMID
	core    *Core
	crashed bool
	load    []int // requests in flight by minion, for policyLeastLoaded
	calls   map[RequestID]*call
	next    RequestID
}

// simMinion runs up to slots calls at a time. Only the baselines use its queue.
type simMinion struct {
	id          oleanderline.MinionID
	slots       int
	busy        int
	queue       []func()
	slowdown    float64
	silent      bool
	calls       int
	slowdownSum float64 // sum of the slowdown factors of the calls
	knee        int     // number of concurrent requests above which they slow each other down; zero: never
}

// serviceTime returns the run time of a call that starts now.
func (m *simMinion) serviceTime(c *call, hedge bool) time.Duration {
	run := c.runTime
	if hedge {
		run = c.hedgeRun
	}
	factor := m.slowdown
	if m.knee > 0 && m.busy > m.knee {
		factor *= math.Pow(float64(m.busy)/float64(m.knee), 2)
	}
	m.calls++
	m.slowdownSum += factor
	return time.Duration(factor * float64(run))
}

// meanSlowdown returns the mean slowdown factor of the calls at minions with a knee.
func (sim *simulation) meanSlowdown() float64 {
	calls, sum := 0, 0.0
	for _, m := range sim.minions {
		if m.knee > 0 {
			calls += m.calls
			sum += m.slowdownSum
		}
	}
	return sum / float64(calls)
}

func newSimulation(p policy, minions, entries int, settings Settings, set *rules.Set) *simulation {
	sim := &simulation{policy: p, rand: rand.New(rand.NewPCG(3, 5)), byID: map[oleanderline.MinionID]*simMinion{}}
	sim.sends = map[oleanderline.MinionID]int{}
	sim.now = start
	sim.maxQueued = settings.Admit.MaxQueued * entries
	var list []Minion
	for i := range minions {
		m := &simMinion{id: oleanderline.MinionID(fmt.Sprintf("m-%d", i)), slots: 8, slowdown: 1}
		sim.minions = append(sim.minions, m)
		sim.byID[m.id] = m
		list = append(list, Minion{ID: m.id, Service: "s", Slots: m.slots})
	}
	var members []oleanderline.VMID
	for i := range entries {
		members = append(members, oleanderline.VMID(fmt.Sprintf("e-%d", i)))
	}
	for _, id := range members {
		e := &simEntry{sim: sim, id: id, calls: map[RequestID]*call{}, load: make([]int, minions)}
		sim.entries = append(sim.entries, e)
		if p == policyCore {
			e.core = New(WithSettings(settings), WithRand(sim.rand))
			e.core.SetMembers(id, members, sim.now, nil)
			e.core.SetRules(set, sim.now)
			e.core.SetMinions(list, sim.now, nil)
			e.every(200*time.Millisecond, e.sendHeartbeat)
			e.every(10*time.Millisecond, e.tick)
		}
	}
	sim.runUntil(sim.now.Add(2 * time.Second)) // until the entries have agreed on the slot holders
	return sim
}

// run runs the calls, which are in order of arrival, until all have ended, for at most 60 s after the last arrival.
func (sim *simulation) run(calls []call) []result {
	begin := sim.now
	for i := range calls {
		sim.runUntil(begin.Add(calls[i].arrivesAt))
		e := sim.entries[calls[i].entry]
		for e.crashed { // the platform's load balancer detects the broken connections
			e = sim.entries[sim.rand.IntN(len(sim.entries))]
		}
		e.arrive(&calls[i])
	}
	for seconds := 0; len(sim.results) < len(calls) && seconds < 60; seconds++ {
		sim.runUntil(sim.now.Add(time.Second))
	}
	return sim.results
}

func (sim *simulation) recordResult(c *call, arrived time.Time, answered bool, reason Reason) {
	sim.results = append(sim.results, result{call: c, answered: answered, reason: reason, elapsed: sim.now.Sub(arrived)})
}

func (e *simEntry) every(interval time.Duration, action func()) {
	var loop func()
	loop = func() {
		if e.crashed {
			return
		}
		action()
		e.sim.after(interval, loop)
	}
	e.sim.after(time.Duration(e.sim.rand.Int64N(int64(interval))), loop)
}

func (e *simEntry) sendHeartbeat() {
	sim := e.sim
	statement := e.core.Statement(sim.now)
	for _, peer := range sim.entries {
		if peer != e {
			sim.after(peerDelay, func() { peer.apply(peer.core.HandleStatement(e.id, statement, sim.now, nil)) })
		}
	}
}

func (e *simEntry) tick() {
	sim := e.sim
	e.apply(e.core.Tick(sim.now, nil))
	e.returnLoans(e.core.DueReturns(sim.now, nil))
	for _, request := range e.core.LoanRequests(sim.now, nil) {
		peer, requestedAt := sim.entry(request.Peer), sim.now
		sim.after(peerDelay, func() {
			loans := peer.core.Lend(request, e.id, sim.now, nil)
			sim.loans += len(loans)
			sim.after(peerDelay, func() {
				actions, returns := e.core.AddLoans(peer.id, loans, requestedAt, sim.now, nil, nil)
				e.apply(actions)
				e.returnLoans(returns)
			})
		})
	}
}

func (e *simEntry) returnLoans(returns []slots.Return) {
	sim := e.sim
	for _, r := range returns {
		peer := sim.entry(r.Lender)
		sim.after(peerDelay, func() { peer.apply(peer.core.HandleReturn(e.id, r.Loan, sim.now, nil)) })
	}
}

// crash ends the process of an entry. Its peers detect this after one second.
func (sim *simulation) crash(index int) {
	e := sim.entries[index]
	e.crashed = true
	var remaining []oleanderline.VMID
	for _, peer := range sim.entries {
		if !peer.crashed {
			remaining = append(remaining, peer.id)
		}
	}
	sim.after(time.Second, func() {
		for _, peer := range sim.entries {
			peer.apply(peer.core.SetMembers(peer.id, remaining, sim.now, nil))
		}
	})
}

func (sim *simulation) entry(id oleanderline.VMID) *simEntry {
	return sim.entries[slices.IndexFunc(sim.entries, func(e *simEntry) bool { return e.id == id })]
}

func (e *simEntry) arrive(c *call) {
	sim := e.sim
	if e.core == nil {
		e.arriveBaseline(c)
		return
	}
	e.next++
	e.calls[e.next] = c
	r := Request{ID: e.next, Service: "s", Priority: c.priority, Arrived: sim.now, Idempotent: sim.hedging}
	if c.declared {
		r.Class, r.Long = c.class, true
	} else {
		r.Group = c.class
	}
	if c.timeout > 0 {
		r.Deadline = sim.now.Add(c.timeout)
	}
	e.apply(e.core.Arrive(r, sim.now, nil))
}

func (e *simEntry) apply(actions []Action) {
	sim := e.sim
	if e.crashed {
		return
	}
	for _, a := range actions {
		switch a.Kind {
		case ActionSend:
			e.send(a)
		case ActionRefuse:
			c := e.calls[a.Request]
			delete(e.calls, a.Request)
			// The latency counts from the arrival of the call in the workload.
			sim.recordResult(c, sim.arrival(c), false, a.Reason)
		case ActionProbe:
			m := sim.byID[a.Minion]
			sim.after(2*minionDelay, func() { e.apply(e.core.HandleProbeResult(a.Minion, !m.silent && m.slowdown < 2, sim.now, nil)) })
		}
	}
}

// arrival returns the arrival time of a call. Workloads start after the 2 s in which the entries agree on the slot
// holders.
func (sim *simulation) arrival(c *call) time.Time { return start.Add(2*time.Second + c.arrivesAt) }

func (e *simEntry) send(a Action) {
	sim, m, c := e.sim, e.sim.byID[a.Minion], e.calls[a.Request]
	sim.sends[m.id]++
	if after := e.core.HedgeAfter(a.Request); after > 0 && !a.Hedge {
		sim.after(after, func() { e.apply(e.core.Hedge(a.Request, sim.now, nil)) })
	}
	sim.after(minionDelay, func() {
		if m.busy >= m.slots {
			sim.overcommits++
		}
		m.busy++
		latency := m.serviceTime(c, a.Hedge)
		result, failed := oleanderline.ResultAnswered, false
		if m.silent {
			latency, result, failed = callTimeout, oleanderline.ResultUnknown, true
		}
		sim.after(latency, func() {
			m.busy--
			sim.after(minionDelay, func() { e.finish(a, c, result, failed, latency+2*minionDelay) })
		})
	})
}

func (e *simEntry) finish(a Action, c *call, r oleanderline.Result, failed bool, latency time.Duration) {
	sim := e.sim
	if e.calls[a.Request] != nil { // otherwise the other copy was faster
		delete(e.calls, a.Request)
		sim.recordResult(c, sim.arrival(c), !failed, "")
	}
	e.apply(e.core.Done(Completion{Request: a.Request, Minion: a.Minion, Result: r, Failed: failed, Latency: latency}, sim.now, nil))
}

// percentile returns the p-quantile of the times, with p between 0 and 1, and sorts them.
func percentile(times []time.Duration, p float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(math.Ceil(p*float64(len(times))))-1]
}
