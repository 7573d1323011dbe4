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

// policy is a way of dispatching that is measured.
type policy int

const (
	policyCore   policy = iota
	policyRandom        // binds on arrival to a random minion, which queues
	policyLeast         // binds on arrival to the minion with the fewest requests in flight from this entry
)

const (
	toMinion    = 750 * time.Microsecond // one way: three of four minions are in another failure domain
	toPeer      = time.Millisecond       // one way
	callTimeout = time.Second            // of an exchange with a minion
)

// call is one request of a workload.
type call struct {
	at    time.Duration
	entry int
	run   time.Duration
	class string
	limit time.Duration // from arrival to deadline; zero: none

	priority rules.Priority
	again    time.Duration // run time of a second copy
	declared bool          // the class is declared by a rule, and is long
}

// result is what the caller of a call saw.
type result struct {
	*call
	answered bool
	reason   Reason
	took     time.Duration
}

// world runs one workload over entries and minions on virtual time.
type world struct {
	events
	rand    *rand.Rand
	policy  policy
	nodes   []*node
	minions []*simMinion
	byID    map[oleanderline.MinionID]*simMinion
	results []result
	bound   int // requests that may wait, over all entries or all minions
	over    int // exchanges that found all slots of a minion busy
	loans   int
	hedging bool // calls are idempotent, and slow ones are hedged
	sends   map[oleanderline.MinionID]int
}

type node struct {
	world *world
	id    oleanderline.VMID
	core  *Core
	dead  bool
	load  []int // by minion, for policyLeast
	calls map[RequestID]*call
	next  RequestID
}

// simMinion runs up to slots calls at a time. Its queue is used by the baselines only.
type simMinion struct {
	id     oleanderline.MinionID
	slots  int
	busy   int
	queue  []func()
	slow   float64
	silent bool
	calls  int
	factor float64 // sum of the slowdowns of the calls
	knee   int     // more requests than this at a time slow each other down; zero: none
}

// takes returns how long the minion takes for a call that begins now.
func (m *simMinion) takes(c *call, hedge bool) time.Duration {
	run := c.run
	if hedge {
		run = c.again
	}
	factor := m.slow
	if m.knee > 0 && m.busy > m.knee {
		factor *= math.Pow(float64(m.busy)/float64(m.knee), 2)
	}
	m.calls++
	m.factor += factor
	return time.Duration(factor * float64(run))
}

// overloadedMean returns the mean slowdown of the calls at minions with a knee.
func (w *world) overloadedMean() float64 {
	calls, sum := 0, 0.0
	for _, m := range w.minions {
		if m.knee > 0 {
			calls += m.calls
			sum += m.factor
		}
	}
	return sum / float64(calls)
}

func newWorld(p policy, minions, entries int, settings Settings, set *rules.Set) *world {
	w := &world{policy: p, rand: rand.New(rand.NewPCG(3, 5)), byID: map[oleanderline.MinionID]*simMinion{}}
	w.sends = map[oleanderline.MinionID]int{}
	w.now = start
	w.bound = settings.Admit.Bound * entries
	var list []Minion
	for i := range minions {
		m := &simMinion{id: oleanderline.MinionID(fmt.Sprintf("m-%d", i)), slots: 8, slow: 1}
		w.minions = append(w.minions, m)
		w.byID[m.id] = m
		list = append(list, Minion{ID: m.id, Service: "s", Slots: m.slots})
	}
	var members []oleanderline.VMID
	for i := range entries {
		members = append(members, oleanderline.VMID(fmt.Sprintf("e-%d", i)))
	}
	for _, id := range members {
		n := &node{world: w, id: id, calls: map[RequestID]*call{}, load: make([]int, minions)}
		w.nodes = append(w.nodes, n)
		if p == policyCore {
			n.core = New(WithSettings(settings), WithRand(w.rand))
			n.core.SetMembers(id, members, w.now, nil)
			n.core.SetRules(set, w.now)
			n.core.SetMinions(list, w.now, nil)
			n.every(200*time.Millisecond, n.beat)
			n.every(10*time.Millisecond, n.tick)
		}
	}
	w.runUntil(w.now.Add(2 * time.Second)) // the entries agree on their shares
	return w
}

// run carries out the calls, which are in time order, and lets all of them end.
func (w *world) run(calls []call) []result {
	begin := w.now
	for i := range calls {
		w.runUntil(begin.Add(calls[i].at))
		n := w.nodes[calls[i].entry]
		for n.dead { // the platform's balancer sees that its connections break
			n = w.nodes[w.rand.IntN(len(w.nodes))]
		}
		n.arrive(&calls[i])
	}
	for patience := 0; len(w.results) < len(calls) && patience < 60; patience++ {
		w.runUntil(w.now.Add(time.Second))
	}
	return w.results
}

func (w *world) end(c *call, arrived time.Time, answered bool, reason Reason) {
	w.results = append(w.results, result{call: c, answered: answered, reason: reason, took: w.now.Sub(arrived)})
}

func (n *node) every(d time.Duration, do func()) {
	var again func()
	again = func() {
		if n.dead {
			return
		}
		do()
		n.world.after(d, again)
	}
	n.world.after(time.Duration(n.world.rand.Int64N(int64(d))), again)
}

func (n *node) beat() {
	w := n.world
	said := n.core.Statement(w.now)
	for _, peer := range w.nodes {
		if peer != n {
			w.after(toPeer, func() { peer.do(peer.core.Heard(n.id, said, w.now, nil)) })
		}
	}
}

func (n *node) tick() {
	w := n.world
	n.do(n.core.Tick(w.now, nil))
	n.giveBack(n.core.Returns(w.now, nil))
	for _, want := range n.core.Wants(w.now, nil) {
		peer, asked := w.node(want.Peer), w.now
		w.after(toPeer, func() {
			loans := peer.core.Lend(want, n.id, w.now, nil)
			w.loans += len(loans)
			w.after(toPeer, func() {
				actions, returns := n.core.Borrowed(peer.id, loans, asked, w.now, nil, nil)
				n.do(actions)
				n.giveBack(returns)
			})
		})
	}
}

func (n *node) giveBack(returns []slots.Return) {
	w := n.world
	for _, r := range returns {
		peer := w.node(r.Lender)
		w.after(toPeer, func() { peer.do(peer.core.Returned(n.id, r.Loan, w.now, nil)) })
	}
}

// crash ends the process of an entry. Its peers see that a second later.
func (w *world) crash(index int) {
	n := w.nodes[index]
	n.dead = true
	var left []oleanderline.VMID
	for _, peer := range w.nodes {
		if !peer.dead {
			left = append(left, peer.id)
		}
	}
	w.after(time.Second, func() {
		for _, peer := range w.nodes {
			peer.do(peer.core.SetMembers(peer.id, left, w.now, nil))
		}
	})
}

func (w *world) node(id oleanderline.VMID) *node {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == id })]
}

func (n *node) arrive(c *call) {
	w := n.world
	if n.core == nil {
		n.arriveEarlyBound(c)
		return
	}
	n.next++
	n.calls[n.next] = c
	r := Request{ID: n.next, Service: "s", Priority: c.priority, Arrived: w.now, Idempotent: w.hedging}
	if c.declared {
		r.Class, r.Long = c.class, true
	} else {
		r.Group = c.class
	}
	if c.limit > 0 {
		r.Deadline = w.now.Add(c.limit)
	}
	n.do(n.core.Arrive(r, w.now, nil))
}

func (n *node) do(actions []Action) {
	w := n.world
	if n.dead {
		return
	}
	for _, a := range actions {
		switch a.Kind {
		case ActionSend:
			n.send(a)
		case ActionRefuse:
			c := n.calls[a.Request]
			delete(n.calls, a.Request)
			// A caller's time counts from its arrival in the workload, whose virtual time the call keeps.
			w.end(c, w.arrival(c), false, a.Reason)
		case ActionProbe:
			m := w.byID[a.Minion]
			w.after(2*toMinion, func() { n.do(n.core.ProbeResult(a.Minion, !m.silent && m.slow < 2, w.now, nil)) })
		}
	}
}

// arrival is the time of a call's arrival: workloads begin when the shares are agreed on.
func (w *world) arrival(c *call) time.Time { return start.Add(2*time.Second + c.at) }

func (n *node) send(a Action) {
	w, m, c := n.world, n.world.byID[a.Minion], n.calls[a.Request]
	w.sends[m.id]++
	if after := n.core.HedgeAfter(a.Request); after > 0 && !a.Hedge {
		w.after(after, func() { n.do(n.core.Hedge(a.Request, w.now, nil)) })
	}
	w.after(toMinion, func() {
		if m.busy >= m.slots {
			w.over++
		}
		m.busy++
		took := m.takes(c, a.Hedge)
		result, failed := oleanderline.ResultAnswered, false
		if m.silent {
			took, result, failed = callTimeout, oleanderline.ResultUnknown, true
		}
		w.after(took, func() {
			m.busy--
			w.after(toMinion, func() { n.finish(a, c, result, failed, took+2*toMinion) })
		})
	})
}

func (n *node) finish(a Action, c *call, r oleanderline.Result, failed bool, took time.Duration) {
	w := n.world
	if n.calls[a.Request] != nil { // else the other copy was faster
		delete(n.calls, a.Request)
		w.end(c, w.arrival(c), !failed, "")
	}
	n.do(n.core.Done(Finish{Request: a.Request, Minion: a.Minion, Result: r, Failed: failed, Latency: took}, w.now, nil))
}

// percentile returns the p-th part of the times.
func percentile(times []time.Duration, p float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(math.Ceil(p*float64(len(times))))-1]
}
