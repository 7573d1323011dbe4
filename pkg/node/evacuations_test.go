package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
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
	domain := oleanderline.DomainID(strings.TrimPrefix(rec.Key, evacuationPrefix))
	if domain == "" || (len(rec.Value) > 0 && string(rec.Value) != "{}") {
		return domain, errors.New("malformed")
	}
	return domain, nil
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
