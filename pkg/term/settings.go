package term

import (
	"context"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/agent"
	"github.com/oleanderline/oleanderline/pkg/capacity"
	"github.com/oleanderline/oleanderline/pkg/plan"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// Settings of a Session.
type Settings struct {
	Leader record.Leader
	Plan   plan.Settings
	Lease  time.Duration // of the runs on a worker
	Hold   time.Duration // how long a hold waits for an end
	// Alone is how long the leader goes on without an answer from the log.
	Alone time.Duration
	// Confirmed is how long after an append no other process can have claimed.
	Confirmed time.Duration
	KeepJob   time.Duration // how long a finished job stays known
	// VM names this process, also to the platform's service for VMs.
	VM oleanderline.VMID
	// Limits bound how many workers this process serves itself, and Address is where agents reach it.
	Limits      capacity.VM
	Address     string
	Maintenance Maintenance
}

// Maintenance is the timing of maintenance windows.
type Maintenance struct {
	Takes time.Duration // of one VM
	// Quiet is how long after the start of a term no VM is taken down, because an earlier leader may have done so just now.
	Quiet time.Duration
}

// Ports are what a session speaks to.
type Ports struct {
	Log oleanderline.KeyedLog
	// Workers is the stream of the directory, decoded by DecodeWorker.
	Workers      oleanderline.Stream
	DecodeWorker func(oleanderline.KeyedRecord) (oleanderline.WorkerEntry, error)
	Dial         func(id oleanderline.WorkerID, address string) oleanderline.Runner
	// Invite asks the process at an address to serve workers for this leader.
	Invite func(ctx context.Context, address string, invitation agent.Invitation) error
	// Adviser is nil if there is none.
	Adviser oleanderline.Adviser
	// Fleet is nil if there is none.
	Fleet oleanderline.Fleet
	// Status is the stream that tells the operators about maintenance windows, in the form that EncodeWindow gives them.
	Status       oleanderline.Stream
	EncodeWindow func(id oleanderline.WindowID, complete bool) (oleanderline.KeyedRecord, error)
	// Wall returns the time of day.
	Wall func() time.Time
}

// Timing of the duties of a session.
const (
	tickInterval      = 20 * time.Millisecond
	heartbeatInterval = 400 * time.Millisecond
	flushInterval     = 25 * time.Millisecond
	flushRetry        = 100 * time.Millisecond
	directoryPause    = 250 * time.Millisecond
	directoryWait     = 1500 * time.Millisecond
	pairsInterval     = 2 * time.Second
	adviceSlack       = 500 * time.Millisecond // for the way to the adviser and back
	forgetMost        = 50                     // jobs dropped at a time
	forgetInterval    = 5 * time.Second
	mailbox           = 8192 // messages
	postPause         = 2 * time.Millisecond
	// fleetInterval spaces the looks at VMs while a maintenance window is open.
	fleetInterval = 250 * time.Millisecond
	windowStates  = 64 // states of windows that wait to be stored
)
