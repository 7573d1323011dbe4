package node

import (
	"context"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/agent"
	"github.com/oleanderline/oleanderline/pkg/capacity"
	"github.com/oleanderline/oleanderline/pkg/term"
)

// Settings of a Node.
type Settings struct {
	VM          oleanderline.VMID
	Limits      capacity.VM   // of this VM
	PeerAddress string        // where to serve other processes of the cell; "" for nowhere
	MaxLease    time.Duration // the longest that workers accept
	KeepJob     time.Duration // how long a finished job stays known
	Maintenance term.Maintenance
}

// Ports are what a node speaks to: what a leader needs, and the stream of the operators.
type Ports struct {
	term.Ports

	Config       oleanderline.Stream // of the operators' configuration
	ConfigKey    string
	DecodeConfig func(value []byte) (*oleanderline.CellConfig, error)
	// Agents reaches the leaders and agents of other processes; nil for net/rpc.
	Agents AgentPort
	// IsWindow and DecodeWindow tell the maintenance windows in the stream of the configuration. They are used if there is a
	// Fleet.
	IsWindow     func(key string) bool
	DecodeWindow func(oleanderline.KeyedRecord) (oleanderline.MaintenanceWindow, error)
}

// AgentPort is how leaders and agents reach each other.
type AgentPort interface {
	agent.Leader
	Invite(ctx context.Context, address string, invitation agent.Invitation) error
}

// Timing of a node.
const (
	// leaderTimeout is how long the leader's records may stay away before another process claims leadership.
	leaderTimeout = 1500 * time.Millisecond
	// claimSpread spaces the claims of processes that take the leader as lost at the same time.
	claimSpread = 400 * time.Millisecond
	// weakDelay keeps VMs with less than weakShare of the largest processor share from leading while stronger ones live.
	weakDelay = claimSpread + 100*time.Millisecond
	weakShare = 0.75

	// lease is how long a run goes on without its leader. It covers the loss of a leader and the start of the next.
	lease = 4 * time.Second
	// aloneFor is how long a leader goes on while the log does not answer. Longer outages end all runs.
	aloneFor = 10 * time.Second
	// runLimit is how long a run lasts after its last order at most: the clock of a worker may be 2% slow.
	runLimit = lease + lease/20 + 200*time.Millisecond
	// horizon is how long after a claim a run of an earlier leader may last. That leader may have been heard just before.
	horizon = aloneFor + runLimit
	// majorityAge covers a hold that waits, its answer and a slow process.
	majorityAge = 1500 * time.Millisecond
	holdWait    = 600 * time.Millisecond
	settleTime  = 700 * time.Millisecond

	readWait       = 1200 * time.Millisecond
	minReadWait    = 5 * time.Millisecond
	readRetry      = 100 * time.Millisecond
	followPause    = 300 * time.Millisecond // between reads of a process that does not lead
	recentRead     = 40 * time.Millisecond  // a read as recent as this answers callers
	refreshLimit   = 100 * time.Millisecond
	yieldLimit     = 2 * time.Second
	leaderPause    = 10 * time.Millisecond
	staleRead      = 1500 * time.Millisecond // how old a read may be before a peer is asked
	freshFor       = time.Second             // how old a read may be for an answer that a job is unknown
	readyFor       = 2500 * time.Millisecond // how old a read may be for new callers to be sent here
	introduceRetry = time.Second
	submitRetry    = 50 * time.Millisecond
	circuitPause   = 250 * time.Millisecond // between attempts to store while the log refuses
)
