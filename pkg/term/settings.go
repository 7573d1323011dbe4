package term

import (
	"context"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/agent"
	"github.com/oleanderline/oleanderline/pkg/capacity"
	"github.com/oleanderline/oleanderline/pkg/evacuation"
	"github.com/oleanderline/oleanderline/pkg/plan"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// Settings of a Session.
type Settings struct {
	Leader    record.Leader
	Plan      plan.Settings
	Lease     time.Duration // how long the runs on a worker continue without a renewal
	MaxLease  time.Duration // the longest lease that workers accept
	RenewWait time.Duration // how long a worker may delay its answer to a renew call (lease renewal) until a run ends
	// LogLimits are those of Ports.Log.
	LogLimits oleanderline.LogLimits
	// MaxLogOutage is how long the leader may go on sending orders without an answer from the log.
	MaxLogOutage time.Duration
	// AppendValidity is how long after the sending of a confirmed append the leader may send orders without a majority of workers. A
	// successor relies on its being no longer than Plan.Majority.
	AppendValidity time.Duration
	JobRetention   time.Duration // retention of finished jobs
	// VM identifies this process, also to the platform's VM service.
	VM oleanderline.VMID
	// Limits bound how many workers this process serves itself. Address is where agents reach it.
	Limits      capacity.VM
	Address     string
	Maintenance Maintenance
}

// Maintenance is the timing of maintenance windows.
type Maintenance struct {
	Duration time.Duration // how long the maintenance of one VM takes
	// StartDelay is how long after the start of a term no VM is taken down, because an earlier leader may have just taken one down.
	StartDelay time.Duration
}

// Ports are the external services and processes that a session calls.
type Ports struct {
	Log oleanderline.KeyedLog
	// Workers is the stream of the directory of workers. DecodeWorker decodes its records.
	Workers      oleanderline.Stream
	DecodeWorker func(oleanderline.KeyedRecord) (oleanderline.WorkerEntry, error)
	Dial         func(id oleanderline.WorkerID, address string) oleanderline.Runner
	// AppendAnswer returns the answer time of this process's appends lately, which the leader's record tells all processes and its
	// flushes follow. It is nil if nobody measures it.
	AppendAnswer func() time.Duration
	// Invite asks the process at an address to serve workers for this leader.
	Invite func(ctx context.Context, address string, invitation agent.Invitation) error
	// Evacuations returns the newest requests to take failure domains out of service.
	Evacuations func() *evacuation.View
	// Adviser is nil if there is none.
	Adviser oleanderline.Adviser
	// Fleet is nil if there is none.
	Fleet oleanderline.Fleet
	// Status is the stream on which the states of maintenance windows are published, encoded by EncodeWindow.
	Status       oleanderline.Stream
	EncodeWindow func(id oleanderline.WindowID, complete bool) (oleanderline.KeyedRecord, error)
	// Wall returns the time of day.
	Wall func() time.Time
}

// Intervals, timeouts and bounds of a session.
const (
	tickInterval          = 20 * time.Millisecond
	heartbeatInterval     = 400 * time.Millisecond
	flushInterval         = 25 * time.Millisecond
	maxFlushPause         = heartbeatInterval
	flushRetryDelay       = 100 * time.Millisecond
	directoryPollInterval = 250 * time.Millisecond
	directoryReadWait     = 1500 * time.Millisecond
	pairsInterval         = 2 * time.Second
	adviceSlack           = 500 * time.Millisecond // for the round trip to the adviser
	maxDroppedJobs        = 50                     // per dropInterval
	dropInterval          = 5 * time.Second
	mailboxSize           = 8192 // messages
	postRetryDelay        = 2 * time.Millisecond
	// vmPollInterval is the pause between lists of VMs while a maintenance window is open.
	vmPollInterval       = 250 * time.Millisecond
	windowStateQueueSize = 64 // states of maintenance windows
)
