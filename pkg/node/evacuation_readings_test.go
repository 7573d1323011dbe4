package node

import (
	"context"
	"fmt"
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

// Guards against an entry of another program that takes no domain or the wrong one out of service, hides the requests beside it, or stops
// the reading of the stream.
func TestMalformedRequests(t *testing.T) {
	commons := newCommons()
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 0, commons)
		defer c.close()
		c.appendRecord(streamConfig, evacuationPrefix, "{}")
		c.appendRecord(streamConfig, evacuationPrefix+"d1", "garbage")
		c.evacuate("d2")
		time.Sleep(learnTime)
		for i := range c.commons {
			require.Equal(t, []oleanderline.DomainID{"d1", "d2"}, c.domainsKnown(i))
		}
		c.takeBack("d1")
		c.appendRecord(streamConfig, evacuationPrefix, "")
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

// Guards against a metrics page that cannot be read because operators have written an odd name: a name and its value are separated by a
// space.
func TestOddDomainNamesKeepTheMetricsPageReadable(t *testing.T) {
	c := newCommons()[0]
	e := evacuations{common: c}
	out := map[oleanderline.DomainID]oleanderline.Offset{}
	for i, name := range []oleanderline.DomainID{`a"b`, "a b", `a{x="y"}`, "a,b", "\u00e9\\n", "a\tb", ""} {
		out[name] = oleanderline.Offset(i)
	}
	e.update(time.Time{}, false, func(r *evacuation.Requests) []evacuation.Change {
		return r.Replace(evacuation.Snapshot{Out: out, Next: 10}, time.Time{})
	})
	var page strings.Builder
	c.Metrics.WritePrometheus(&page)
	require.NotEmpty(t, page.String())
	for line := range strings.Lines(page.String()) {
		require.Regexp(t, `^oleander_cell_domain_out\{domain="[A-Za-z0-9_.-]*"\} 1\n$`, line)
	}
	e.update(time.Time{}, false, func(r *evacuation.Requests) []evacuation.Change {
		return r.Replace(evacuation.Snapshot{Next: 11}, time.Time{})
	})
	require.Empty(t, c.Metrics.ListMetricNames())
}
