// Package node runs one process of a cell. Every process serves callers and replicates the records of the cell; one of them
// is the leader and schedules tasks.
package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/agent"
	"github.com/oleanderline/oleanderline/pkg/agentrpc"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/groupcommit"
	"github.com/oleanderline/oleanderline/pkg/lead"
	"github.com/oleanderline/oleanderline/pkg/peer"
	"github.com/oleanderline/oleanderline/pkg/record"
	"github.com/oleanderline/oleanderline/pkg/relay"
	"github.com/oleanderline/oleanderline/pkg/replica"
	"github.com/oleanderline/oleanderline/pkg/term"
)

// Node is one process of a cell.
type Node struct {
	common       *common.Common
	settings     Settings
	ports        Ports
	replica      *replica.Replica
	detector     *lead.FailureDetector
	batcher      *batcher
	policy       *groupcommit.Policy
	peers        *peer.Pool
	relay        *relay.Client
	appenders    AppendPort
	announced    atomic.Int64 // when the peers were last told of a slow log, in Unix nanoseconds
	sharing      atomic.Bool  // whether records go through appenders, for the log lines
	agents       AgentPort
	agent        *agent.Agent
	config       atomic.Pointer[oleanderline.CellConfig]
	windows      windows
	evacuations  evacuations
	stopping     atomic.Bool
	readRequests chan struct{} // makes followRecords read without waiting for followerReadPause
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup

	// session is set while this process is the leader. Only followRecords changes it.
	session atomic.Pointer[term.Session]
	// unreadClaim is the number of the newest claim by another process whose leader record has not been read yet.
	unreadClaim int
	ownTerm     oleanderline.Term // the term of this process's newest claim
	loggedTerm  oleanderline.Term // the newest term of a leader whose record was logged
	recordReads outageLogger
	metrics     *nodeMetrics
}

var _ oleanderline.JobService = (*Node)(nil)

// New returns a node that is idle until Start is called.
func New(c *common.Common, settings Settings, ports Ports) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		common: c, settings: settings, ports: ports, ctx: ctx, cancel: cancel,
		detector: lead.NewFailureDetector(leaderTimeout), readRequests: make(chan struct{}, 1),
	}
	n.replica = replica.New(func(err error) {
		c.Event(common.EventRecordMalformed).WithError(err).Warn("malformed record skipped")
	})
	n.policy = groupcommit.New(rand.Float64)
	n.ports.Log = &timedLog{KeyedLog: ports.Log, clock: c.Clock, policy: n.policy, onLate: n.announceSlow}
	tries := 1
	if settings.OwnAppends {
		tries = appendAttempts
	}
	n.batcher = newBatcher(c, n.ports.Log, settings.LogLimits, n.policy, tries)
	n.peers = peer.NewPool()
	n.relay = relay.NewClient(func() []string { return n.replica.PeerAddresses(settings.VM) }, n.peers)
	if n.ports.PeerEvacuations == nil {
		n.ports.PeerEvacuations = n.relay.Evacuations
	}
	n.appenders = ports.Appenders
	if n.appenders == nil {
		n.appenders = n.relay
	}
	n.agents = ports.Agents
	if n.agents == nil {
		n.agents = agentrpc.NewClient(n.peers)
	}
	n.evacuations.common = c
	n.agent = agent.New(c, settings.VM, agent.Dial(ports.Dial), n.agents, agent.WithDomains(n.evacuations.inService))
	n.metrics = newNodeMetrics(c.Metrics, n)
	n.recordReads = outageLogger{common: c, stream: "records"}
	return n
}

// Start starts the goroutines of the node.
func (n *Node) Start() {
	n.wg.Go(n.followConfig)
	n.wg.Go(n.watchEvacuations)
	n.wg.Go(n.followRecords)
	n.wg.Go(func() { n.batcher.run(n.ctx) })
	n.wg.Go(n.register)
	n.wg.Go(n.servePeers)
}

// register stores the capacity and the peer address of this process for the other processes.
func (n *Node) register() {
	rec, err := record.ForNode(n.settings.VM, record.Node{VM: n.settings.Limits, Address: n.settings.PeerAddress})
	if err != nil {
		n.common.Event(common.EventRecordMalformed).WithError(err).Error("cannot encode the record of this process; it stays unregistered")
		return
	}
	for n.ctx.Err() == nil {
		if err := n.storeByPolicy(n.ctx, rec); err == nil {
			return
		}
		n.sleep(registerRetry)
	}
}

// Drain begins a planned stop: it makes this process not ready, has its agent leave and, on the leader, resigns.
func (n *Node) Drain(ctx context.Context) {
	n.stopping.Store(true)
	n.agent.Leave()
	if s := n.session.Load(); s != nil {
		s.Stop(ctx, true)
	}
}

// Stop ends the session, the agent and all goroutines, and waits for them.
func (n *Node) Stop() {
	n.cancel()
	n.agent.Stop()
	n.wg.Wait()
	if s := n.session.Load(); s != nil {
		s.Stop(n.ctx, false)
	}
}

func (n *Node) sleep(d time.Duration) { common.Sleep(n.ctx, n.common.Clock, d) }

// outageLogger logs the first failed read of a stream and the first successful one after that.
type outageLogger struct {
	common  *common.Common
	stream  string
	failing bool
}

func (l *outageLogger) observe(err error) {
	switch {
	case err != nil && !l.failing:
		l.failing = true
		l.common.Event(common.EventLogUnavailable).WithField("stream", l.stream).WithError(err).Warn("log read failed; retrying")
	case err == nil && l.failing:
		l.failing = false
		l.common.Event(common.EventLogAvailable).WithField("stream", l.stream).Info("log reads succeed again")
	}
}
