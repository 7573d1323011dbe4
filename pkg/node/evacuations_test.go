package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/cellfake"
	"github.com/oleanderline/oleanderline/pkg/evacuation"
)

const (
	domainCount      = 3
	evacuationPrefix = "evacuate/"
	// learnTime is how long all processes may take to learn of a request.
	learnTime = 5 * time.Second
)

// domainOf returns the failure domain of a worker: two workers are in each.
func domainOf(id oleanderline.WorkerID) oleanderline.DomainID {
	number := 0
	_, _ = fmt.Sscanf(string(id), "w%d", &number)
	return oleanderline.DomainID(fmt.Sprintf("d%d", number%domainCount))
}

func isTestEvacuation(key string) bool { return strings.HasPrefix(key, evacuationPrefix) }

func decodeTestEvacuation(rec oleanderline.KeyedRecord) (oleanderline.DomainID, error) {
	return oleanderline.DomainID(strings.TrimPrefix(rec.Key, evacuationPrefix)), nil
}

// peerEvacuations asks a process other than index for the evacuation requests.
func (c *testCell) peerEvacuations(ctx context.Context, index int, path *cellfake.Path, maxAge time.Duration) (evacuation.Snapshot, time.Duration, error) {
	client := &cellfake.PeerClient{Path: path, Find: c.backend}
	for other := range c.commons {
		if other == index {
			continue
		}
		if requests, age, err := client.Evacuations(ctx, fmt.Sprint(other)); err == nil && age <= maxAge {
			return requests, age, nil
		}
	}
	return evacuation.Snapshot{}, 0, oleanderline.ErrNotReady
}

// evacuate requests the evacuation of a failure domain.
func (c *testCell) evacuate(domain oleanderline.DomainID) {
	c.appendRecord(streamConfig, evacuationPrefix+string(domain), "{}")
	c.checker.Evacuated(domain)
}

// takeBack removes the request for a failure domain.
func (c *testCell) takeBack(domain oleanderline.DomainID) {
	c.checker.TakenBack(domain)
	c.appendRecord(streamConfig, evacuationPrefix+string(domain), "")
}

// runEvacuations takes random failure domains out of service and back, also unknown ones, and removes the history of the operators' stream,
// until the context ends. Then it takes all of them back.
func (c *testCell) runEvacuations(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.seed, 2))
	for ctx.Err() == nil {
		domain := oleanderline.DomainID(fmt.Sprintf("d%d", random.IntN(domainCount+1)))
		switch random.IntN(8) {
		case 0, 1, 2, 3:
			c.evacuate(domain)
		case 4, 5:
			c.takeBack(domain)
		case 6:
			c.takeBack(domain)
			c.evacuate(domain)
		case 7:
			c.store.Trim(streamConfig)
		}
		time.Sleep(time.Duration(random.IntN(5000)) * time.Millisecond)
	}
	for i := range domainCount + 1 {
		c.takeBack(oleanderline.DomainID(fmt.Sprintf("d%d", i)))
	}
}

// load submits small jobs at a steady rate until the returned function is called, so that every pass has tasks to place.
func (c *testCell) load() (stop func()) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.wg.Go(func() {
		for i := 1; ctx.Err() == nil; i++ {
			c.submit(oleanderline.Job{ID: oleanderline.JobID(fmt.Sprintf("%016x", i)), Queue: "q", Policy: testQueue, Payload: fmt.Sprint(i), Steps: []oleanderline.Step{
				{Count: 4, Size: oleanderline.Size{CPU: 1000, Memory: 100}, Estimate: time.Second},
			}})
			time.Sleep(500 * time.Millisecond)
		}
	})
	return cancel
}

// domainsKnown returns the failure domains out of service that a process knows.
func (c *testCell) domainsKnown(index int) []oleanderline.DomainID {
	return c.process(index).node.evacuations.current().Domains()
}

// leader returns the index of the leader, or -1.
func (c *testCell) leader() int {
	for i := range c.commons {
		if p := c.process(i); p != nil && p.node.session.Load() != nil {
			return i
		}
	}
	return -1
}

// Guards against starts in a failure domain out of service after something has gone wrong halfway, and against a domain that stays out of
// service although its request was removed. Under load, with the leader serving all workers, and with agents.
func TestEvacuation(t *testing.T) {
	type scenario struct {
		name string
		// disturb is called while "d1" is out of service.
		disturb func(c *testCell)
	}
	for _, s := range []scenario{
		{"calm", func(*testCell) {}},
		{"leader killed", func(c *testCell) { c.killLeader(3 * time.Second) }},
		{"all processes restarted", func(c *testCell) {
			for i := range c.commons {
				c.killProcess(i, time.Second)
			}
		}},
		{"history removed", func(c *testCell) { c.store.Trim(streamConfig) }},
		{"history removed, all processes restarted", func(c *testCell) {
			c.store.Trim(streamConfig)
			for i := range c.commons {
				c.killProcess(i, time.Second)
			}
		}},
		{"second domain", func(c *testCell) {
			c.evacuate("d2")
			time.Sleep(learnTime)
			before := c.checker.StartsIn("d1") + c.checker.StartsIn("d2")
			time.Sleep(learnTime)
			require.Equal(c.t, before, c.checker.StartsIn("d1")+c.checker.StartsIn("d2"))
			c.takeBack("d2")
		}},
		{"removed and made again", func(c *testCell) {
			c.takeBack("d1")
			c.evacuate("d1")
			time.Sleep(learnTime)
			c.takeBack("d1")
			time.Sleep(learnTime)
			c.evacuate("d1")
		}},
		{"unknown domain", func(c *testCell) { c.evacuate("d9") }},
		{"store refuses the leader", func(c *testCell) { c.setStoreFault(c.leader(), cellfake.FaultRefuse, 8*time.Second) }},
		{"workers carry out orders late", func(c *testCell) {
			for i := range c.commons {
				c.setWorkerFaults(i, cellfake.FaultLate, workerCount, 5*time.Second)
			}
		}},
	} {
		for _, seed := range []uint64{0, 1} { // with 1, agents serve most workers
			t.Run(fmt.Sprintf("%s/%d", s.name, seed), func(t *testing.T) {
				commons := newCommons()
				synctest.Test(t, func(t *testing.T) { runEvacuation(t, newTestCell(t, seed, commons), s.disturb) })
			})
		}
	}
}

func runEvacuation(t *testing.T, c *testCell, disturb func(*testCell)) {
	defer c.close()
	time.Sleep(4 * time.Second) // until there is a leader
	stop := c.load()
	time.Sleep(4 * time.Second)
	require.NotZero(t, c.checker.StartsIn("d1"))
	c.evacuate("d1")
	time.Sleep(learnTime)
	disturb(c)
	time.Sleep(3 * learnTime)
	c.clearFaults()
	time.Sleep(2 * learnTime)
	require.Empty(t, c.checker.Violations())
	for i := range c.commons {
		require.Contains(t, c.domainsKnown(i), oleanderline.DomainID("d1"))
	}
	c.takeBack("d1")
	returned := c.checker.StartsIn("d1")
	time.Sleep(2 * learnTime)
	require.NotZero(t, c.checker.StartsIn("d1")-returned, "tasks start there again")
	stop()
	time.Sleep(recoveryTime)
	c.checker.CheckFinal(func(id oleanderline.JobID) (oleanderline.JobState, error) {
		return c.process(0).node.State(c.ctx, "q", id)
	})
	require.Empty(t, c.checker.Violations())
}

// Guards against a process that the store refuses and that goes on to order starts in a failure domain which operators have taken out of
// service meanwhile: the leader for as long as workers accept its calls, or an agent for the leader. It learns of the request from a
// peer. Without peers it does not.
func TestRefusedProcessLearnsOfARequestFromAPeer(t *testing.T) {
	for _, peers := range []bool{true, false} {
		t.Run(fmt.Sprintf("peers %t", peers), func(t *testing.T) {
			commons := newCommons()
			synctest.Test(t, func(t *testing.T) {
				c := newTestCell(t, 1, commons)
				defer c.close()
				time.Sleep(4 * time.Second)
				refused := (c.leader() + 1) % processCount
				c.setStoreFault(refused, cellfake.FaultRefuse, time.Minute)
				if !peers {
					c.process(refused).peers.SetFault(cellfake.FaultRefuse)
				}
				time.Sleep(time.Second)
				c.evacuate("d1")
				time.Sleep(learnTime)
				require.Equal(t, peers, len(c.domainsKnown(refused)) == 1)
				c.takeBack("d1")
				time.Sleep(learnTime)
				require.Empty(t, c.domainsKnown(refused))
			})
		})
	}
}

// Guards against a task that waits for ever, or starts elsewhere, because only a failure domain out of service has its label, and against
// operators who are not told.
func TestTasksOfAnEvacuatedDomainWait(t *testing.T) {
	commons := newCommons()
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 0, commons)
		defer c.close()
		time.Sleep(4 * time.Second)
		c.evacuate("d1")
		time.Sleep(learnTime)
		require.True(t, c.submit(oleanderline.Job{ID: "00000000000000aa", Queue: "q", Policy: testQueue, Payload: "1", Steps: []oleanderline.Step{
			{Count: 2, Size: oleanderline.Size{CPU: 1000, Memory: 100}, Label: "d1"},
		}}))
		time.Sleep(learnTime)
		leader := c.process(c.leader()).node
		require.InDelta(t, 2, leader.domainWaiting(), 0)
		require.InDelta(t, 1, leader.domainsOut(), 0)
		c.takeBack("d1")
		time.Sleep(recoveryTime)
		state, err := leader.State(c.ctx, "q", "00000000000000aa")
		require.NoError(t, err)
		require.Equal(t, oleanderline.JobCompleted, state)
		require.Zero(t, leader.domainWaiting())
		require.Empty(t, c.checker.Violations())
	})
}

// Guards against a request that stays in force because its removal was not read before the history was removed.
func TestRequestMissingFromTheNewestRecordsIsTakenBack(t *testing.T) {
	commons := newCommons()
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 0, commons)
		defer c.close()
		c.evacuate("d1")
		c.evacuate("d2")
		time.Sleep(learnTime)
		c.takeBack("d1")
		c.store.Trim(streamConfig) // before any process has read the removal
		time.Sleep(learnTime)
		for i := range c.commons {
			require.Equal(t, []oleanderline.DomainID{"d2"}, c.domainsKnown(i))
		}
	})
}

// countingRunner counts the starts that one process sends.
type countingRunner struct {
	oleanderline.Runner
	starts *atomic.Int64
}

func (r *countingRunner) Start(ctx context.Context, order oleanderline.StartRun) (oleanderline.WorkerTime, error) {
	r.starts.Add(1)
	return r.Runner.Start(ctx, order)
}

// Guards against an agent that is in touch with the store and starts tasks in failure domains out of service, because its leader has not
// learned of the requests.
func TestAgentsDoNotRelyOnTheLeadersReading(t *testing.T) {
	commons := newCommons()
	synctest.Test(t, func(t *testing.T) {
		var starts [processCount]atomic.Int64
		c := newTestCell(t, 1, commons, func(c *testCell) {
			c.wrapRunner = func(process int, _ oleanderline.WorkerID, runner oleanderline.Runner) oleanderline.Runner {
				return &countingRunner{runner, &starts[process]}
			}
		})
		defer c.close()
		time.Sleep(4 * time.Second)
		defer c.load()()
		time.Sleep(4 * time.Second)
		leader := c.leader()
		c.failConfigReads.Store(int64(leader))
		c.process(leader).node.ports.PeerEvacuations = func(context.Context, time.Duration) (evacuation.Snapshot, time.Duration, error) {
			return evacuation.Snapshot{}, 0, oleanderline.ErrUnavailable
		}
		time.Sleep(2 * time.Second)  // until its read that is under way has ended
		for i := range domainCount { // all, because agents serve workers in some of them only
			c.evacuate(oleanderline.DomainID(fmt.Sprintf("d%d", i)))
		}
		time.Sleep(learnTime)
		sentByAgents := func() (sum int64) {
			for i := range starts {
				if i != leader {
					sum += starts[i].Load()
				}
			}
			return sum
		}
		before := sentByAgents()
		require.NotZero(t, before)
		time.Sleep(2 * learnTime)
		require.Equal(t, leader, c.leader())
		require.Empty(t, c.domainsKnown(leader))
		require.Equal(t, before, sentByAgents())
	})
}
