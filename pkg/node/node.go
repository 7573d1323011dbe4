// Package node runs one process of a cell. Every process answers callers and follows the records; one of them leads.
package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/agent"
	"github.com/oleanderline/oleanderline/pkg/agentrpc"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/lead"
	"github.com/oleanderline/oleanderline/pkg/peer"
	"github.com/oleanderline/oleanderline/pkg/record"
	"github.com/oleanderline/oleanderline/pkg/relay"
	"github.com/oleanderline/oleanderline/pkg/replica"
	"github.com/oleanderline/oleanderline/pkg/term"
)

// Node is one process of a cell.
type Node struct {
	common   *common.Common
	settings Settings
	ports    Ports
	replica  *replica.Replica
	watch    *lead.Watch
	intake   *intake
	peers    *peer.Pool
	relay    *relay.Client
	agents   AgentPort
	agent    *agent.Agent
	config   atomic.Pointer[oleanderline.CellConfig]
	windows  windows
	stopping atomic.Bool
	wanted   chan struct{} // asks the follower of the records for a read
	ctx      context.Context
	cancel   context.CancelFunc
	duties   sync.WaitGroup

	// session is set while this process leads. Only the follower of the records changes it.
	session atomic.Pointer[term.Session]
	// claimsSeen is the number of the newest claim by another process that has not been heard yet.
	claimsSeen int
	ownTerm    oleanderline.Term // of the newest claim of this process
	logReads   reachability
	metrics    *nodeMetrics
}

var _ oleanderline.JobService = (*Node)(nil)

// New returns a node that does nothing before Start.
func New(c *common.Common, settings Settings, ports Ports) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		common: c, settings: settings, ports: ports, ctx: ctx, cancel: cancel,
		watch: lead.NewWatch(leaderTimeout), wanted: make(chan struct{}, 1),
	}
	n.replica = replica.New(func(err error) {
		c.Event(common.EventRecordMalformed).WithError(err).Warn("record skipped")
	})
	n.intake = newIntake(c, ports.Log)
	n.peers = peer.NewPool()
	n.relay = relay.NewClient(func() []string { return n.replica.Peers(settings.VM) }, n.peers)
	n.agents = ports.Agents
	if n.agents == nil {
		n.agents = agentrpc.NewClient(n.peers)
	}
	n.agent = agent.New(c, settings.VM, agent.Dial(ports.Dial), n.agents)
	n.metrics = newNodeMetrics(c.Metrics, n)
	n.logReads = reachability{common: c, what: "records"}
	return n
}

// Start begins to follow the configuration and the records.
func (n *Node) Start() {
	n.duties.Go(n.followConfig)
	n.duties.Go(n.followRecords)
	n.duties.Go(func() { n.intake.run(n.ctx) })
	n.duties.Go(n.introduce)
	n.duties.Go(n.servePeers)
}

// introduce stores what others need to know of this process.
func (n *Node) introduce() {
	rec, err := record.ForNode(n.settings.VM, record.Node{VM: n.settings.Limits, Address: n.settings.PeerAddress})
	if err != nil {
		n.common.Event(common.EventRecordMalformed).WithError(err).Error("process cannot be encoded")
		return
	}
	for n.ctx.Err() == nil {
		if err := n.intake.store(n.ctx, rec); err == nil {
			return
		}
		n.sleep(introduceRetry)
	}
}

// Drain begins a planned stop: this process is not ready any more, and hands leadership over.
func (n *Node) Drain(ctx context.Context) {
	n.stopping.Store(true)
	n.agent.Leave()
	if s := n.session.Load(); s != nil {
		s.Stop(ctx, true)
	}
}

// Stop ends all duties.
func (n *Node) Stop() {
	n.cancel()
	n.agent.Stop()
	n.duties.Wait()
	if s := n.session.Load(); s != nil {
		s.Stop(n.ctx, false)
	}
}

func (n *Node) sleep(d time.Duration) { common.Sleep(n.ctx, n.common.Clock, d) }

// reachability logs when something is lost and when it is regained.
type reachability struct {
	common *common.Common
	what   string
	lost   bool
}

func (r *reachability) result(err error) {
	switch {
	case err != nil && !r.lost:
		r.lost = true
		r.common.Event(common.EventLogLost).WithField("stream", r.what).WithError(err).Warn("a read of the log failed")
	case err == nil && r.lost:
		r.lost = false
		r.common.Event(common.EventLogRegained).WithField("stream", r.what).Info("the log answers again")
	}
}
