package node

import (
	"context"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/agent"
	"github.com/oleanderline/oleanderline/pkg/capacity"
	"github.com/oleanderline/oleanderline/pkg/evacuation"
	"github.com/oleanderline/oleanderline/pkg/relay"
	"github.com/oleanderline/oleanderline/pkg/term"
)

// Settings of a Node.
type Settings struct {
	VM           oleanderline.VMID
	Limits       capacity.VM            // capacity of this VM
	PeerAddress  string                 // where to serve the other processes of the cell; "" to serve none
	MaxLease     time.Duration          // the longest lease that workers accept
	StopGrace    time.Duration          // how long a worker may take to stop a run
	JobRetention time.Duration          // how long finished jobs are kept
	LogLimits    oleanderline.LogLimits // of Ports.Log
	Maintenance  term.Maintenance
	LargeJobs    oleanderline.ByteCount // memory that large jobs may take up together; 0 means no limit
	// OwnAppends makes this process store all records itself, also while the log answers slowly.
	OwnAppends bool
	// IgnoreSpeed and NoCopies are those of plan.Settings.
	IgnoreSpeed, NoCopies bool
}

// Ports are the external services of a node: those of a session, and the stream of the operators.
type Ports struct {
	term.Ports

	Config       oleanderline.Stream // holds configurations and maintenance windows
	ConfigKey    string
	DecodeConfig func(value []byte) (*oleanderline.CellConfig, error)
	// Agents calls the leaders and agents of other processes, and Appenders those that append for this one; nil selects net/rpc.
	Agents    AgentPort
	Appenders AppendPort
	// IsWindow and DecodeWindow recognize and decode the maintenance windows in the Config stream. They are used only if Fleet
	// is set.
	IsWindow     func(key string) bool
	DecodeWindow func(oleanderline.KeyedRecord) (oleanderline.MaintenanceWindow, error)
	// IsEvacuation and DecodeEvacuation recognize and decode the requests to take failure domains out of service in the Config
	// stream. An error with a domain means that the request counts in spite of it.
	IsEvacuation     func(key string) bool
	DecodeEvacuation func(oleanderline.KeyedRecord) (oleanderline.DomainID, error)
	// PeerEvacuations asks other processes for a list of these requests that was complete within maxAge, and returns its age; nil
	// selects net/rpc.
	PeerEvacuations func(ctx context.Context, maxAge time.Duration) (evacuation.Snapshot, time.Duration, error)
}

// AgentPort carries the calls between leaders and agents.
type AgentPort interface {
	agent.LeaderClient
	Invite(ctx context.Context, address string, invitation agent.Invitation) error
}

// AppendPort stores records through other processes.
type AppendPort interface {
	// Append stores a record through the process at an address. ErrUnavailable and relay.ErrNotInTime guarantee that it has not stored the
	// record and will not store it.
	Append(ctx context.Context, address string, request relay.AppendRequest) error
	// Slow tells the process at an address that the log has become slow.
	Slow(ctx context.Context, address string, notice relay.SlowNotice) error
}

// Timing and thresholds of a node.
const (
	// leaderTimeout is how long no leader record may be read before another process claims leadership.
	leaderTimeout = 1500 * time.Millisecond
	// maxClaimJitter spreads the claims of processes that detect the loss of the leader at the same time.
	maxClaimJitter = 400 * time.Millisecond
	// smallVMDelay delays the claims of VMs with fewer than minCoreShare of the cores of the largest VM, so that a larger VM
	// that is alive claims first.
	smallVMDelay = maxClaimJitter + 100*time.Millisecond
	minCoreShare = 0.75
	// slowLogDelay delays claims while the log answers slowly: the heartbeats of the leader then wait in the log's queue.
	slowLogDelay = time.Second

	// runLease is how long a run continues without contact to a leader. It covers the loss of a leader and the start of the
	// next one.
	runLease = 4 * time.Second
	// maxLogOutage is how long a leader continues while the log does not answer. A longer outage ends all runs.
	maxLogOutage = 10 * time.Second
	// maxRunLease bounds how long a run continues after the last order that extended its lease: the clock of a worker may be
	// 2% slow.
	maxRunLease = runLease + runLease/20 + 200*time.Millisecond
	// horizon is how long after a claim a run of an earlier leader may continue: that leader may have stored a record just
	// before the claim.
	horizon = maxLogOutage + maxRunLease
	// majorityValidity is how long an accepted call of a worker counts towards the majority that a leader needs for its orders.
	// It covers renewWait, the time until the answer arrives and a slow process.
	majorityValidity = 1500 * time.Millisecond
	// appendValidity is how long a confirmed append entitles a leader to orders. It must not exceed majorityValidity.
	appendValidity = majorityValidity
	// renewWait is how long a worker may delay its answer to a renew call until a run ends.
	renewWait = 600 * time.Millisecond
	// settleTime is how long a new leader waits for the reports of workers before it starts tasks.
	settleTime = 700 * time.Millisecond

	maxReadWait       = 1200 * time.Millisecond // how long a read may wait for new records
	minReadWait       = 5 * time.Millisecond
	readRetryDelay    = 100 * time.Millisecond
	followerReadPause = 300 * time.Millisecond    // between the reads of a follower
	recentReadAge     = 40 * time.Millisecond     // up to this age, callers are answered without another read
	refreshTimeout    = 100 * time.Millisecond    // how long a caller waits for another read
	loadTimeout       = time.Second               // how long a submission to a new process waits for the first read
	resignTimeout     = 2 * time.Second           // for the resignation to a larger VM
	leaderReadPause   = 10 * time.Millisecond     // between the reads of the leader
	staleAge          = 1500 * time.Millisecond   // age of the records above which a peer is asked
	maxRecentAge      = maxReadWait + time.Second // age of the records above which no job is reported as unknown
	maxReadyAge       = 2500 * time.Millisecond   // age of the last read from which this process is not ready
	evacuationsAge    = 2 * time.Second           // age of the list of evacuation requests above which peers are asked
	evacuationsPoll   = time.Second               // between requests to peers for that list
	registerRetry     = time.Second               // after a failure to store the record of this process or the shared key
	appendRetryDelay  = 50 * time.Millisecond
	probeInterval     = 250 * time.Millisecond // between appends while the log fails
	noDeadline        = time.Minute            // the time that a caller without a deadline waits, for decisions that need one
)
