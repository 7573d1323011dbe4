// Package shard is the core of one shard as a pure state machine: (state, event, now) -> actions. A Core reads the shard's
// stream, claims the shard, places tasks and decides every call to a worker. It does no I/O, has no goroutines and reads no
// clock.
package shard

import (
	"crypto/sha256"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/health"
	"github.com/oleanderline/oleanderline/pkg/interference"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/member"
	"github.com/oleanderline/oleanderline/pkg/placement"
	"github.com/oleanderline/oleanderline/pkg/queue"
)

// Config holds the identity, the algorithms and the limits of a Core.
type Config struct {
	Self     oleanderline.VMID
	Address  string                // peer address, written into the claim
	Writer   oleanderline.WriterID // unique to this incarnation of the process
	Shard    oleanderline.ShardID
	Chooser  placement.Chooser
	Limits   Limits
	Queue    queue.Settings
	Health   health.Settings
	Guard    interference.Settings
	Disabled Disabled
}

// Limits are the durations and counts that bound a Core.
type Limits struct {
	Lease             time.Duration // lease of a task at its worker
	Renew             time.Duration // interval between renewals at a worker that runs tasks
	Margin            time.Duration // added to every wait for a lease to expire: covers the deadline of a call, its network delay and clock drift
	Horizon           time.Duration // how long leases are renewed without a successful read of the stream
	Retention         time.Duration // minimum time for which the log service keeps an entry
	JobRetention      time.Duration // how long a finished job is kept
	AnswerTimeout     time.Duration // how long a submission or cancellation waits for its record to be read back
	MaxQueued         int           // tasks queued at one worker beyond its free capacity
	MaxPendingRecords int           // records that may wait for the log service; above it, submissions are refused
	MaxFailures       int           // failed attempts after which a task fails for good
}

// DefaultLimits returns the limits used in production.
func DefaultLimits() Limits {
	return Limits{
		Lease:             30 * time.Second,
		Renew:             time.Second,
		Margin:            5 * time.Second,
		Horizon:           15 * time.Minute,
		Retention:         24 * time.Hour,
		JobRetention:      time.Hour,
		AnswerTimeout:     10 * time.Second,
		MaxQueued:         2,
		MaxPendingRecords: 20_000,
		MaxFailures:       3,
	}
}

// Disabled switches off mechanisms. Only tests use it, to show that their checks detect a missing mechanism.
type Disabled struct {
	Journal           journal.DisabledChecks
	ReadBack          bool // acts on an assignment before its record is read back
	LeaseWait         bool // treats the leases at an unreachable worker as expired at once
	Inventory         bool // places tasks before the workers' inventories are known
	Preempt           bool // never preempts a task for an urgent one
	StarvationReserve bool // reserves no worker for a starved large task
	Quarantine        bool // keeps using workers at which every task fails
	Quotas            bool // lets teams exceed their quotas
	Holds             bool // lets batch tasks use capacity that operators hold
	SelfFence         bool // acts after a pause or past the outage horizon without reading the stream
}

// ForKey returns the shard of the job with an idempotency key.
func ForKey(key string, shards int) oleanderline.ShardID {
	names := make([]oleanderline.VMID, shards)
	for i := range names {
		names[i] = oleanderline.VMID(strconv.Itoa(i))
	}
	n, _ := strconv.Atoi(string(member.Home(key, names)))
	return oleanderline.ShardID(n)
}

// ForWorker returns the shard of a worker. It depends only on the names of its failure domain and rack, so that all
// processes agree: two owners that disagreed would both commit the worker's capacity. Racks are commonly numbered, so the
// sum of both numbers spreads the few racks of a small region more evenly than a hash.
func ForWorker(vm oleanderline.VM, shards int) oleanderline.ShardID {
	domain, numbered := trailingNumber(string(vm.Domain))
	rack, alsoNumbered := trailingNumber(string(vm.Rack))
	if numbered && alsoNumbered {
		return oleanderline.ShardID((domain + rack) % shards)
	}
	return ForKey(string(vm.Domain)+"/"+string(vm.Rack), shards)
}

func trailingNumber(name string) (int, bool) {
	const maxDigits = 6
	digits := name[len(strings.TrimRight(name, "0123456789")):]
	if len(digits) > maxDigits {
		digits = digits[len(digits)-maxDigits:]
	}
	n, err := strconv.Atoi(digits)
	return n, err == nil
}

// NewJobID returns the id of the job with an idempotency key. The id contains the shard, so that every process can find the
// owner from the id alone.
func NewJobID(key string, shards int) oleanderline.JobID {
	sum := sha256.Sum256([]byte(key))
	return oleanderline.JobID(fmt.Sprintf("%d-%x", ForKey(key, shards), sum[:12]))
}

// ParseJobID returns the shard that a job id contains.
func ParseJobID(id oleanderline.JobID) (oleanderline.ShardID, error) {
	shard, _, found := strings.Cut(string(id), "-")
	n, err := strconv.Atoi(shard)
	if !found || err != nil || n < 0 {
		return 0, fmt.Errorf("job id %q: want SHARD-HASH", id)
	}
	return oleanderline.ShardID(n), nil
}
