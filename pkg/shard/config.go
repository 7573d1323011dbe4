// Package shard is the pure core of one shard: (state, event, now) -> actions. A Core reads the shard's stream, claims the
// shard, places tasks and decides every call to a worker. It does no I/O, has no goroutines and reads no clock.
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

// Config is what a Core needs to know about its process and its bounds.
type Config struct {
	Self    oleanderline.VMID
	Address string                // peer address, written into the claim
	Writer  oleanderline.WriterID // unique to this incarnation of the process
	Shard   oleanderline.ShardID
	Chooser placement.Chooser
	Limits  Limits
	Queue   queue.Settings
	Health  health.Settings
	Guard   interference.Settings
	Without Without
}

// Limits are the times and counts that bound a Core.
type Limits struct {
	Lease     time.Duration // of a task at its worker
	Renew     time.Duration // between two renewals of a worker that runs tasks
	Margin    time.Duration // added to every wait for a lease: deadline of a call, its way, drift of clocks
	Horizon   time.Duration // how long leases are renewed without a successful read of the stream
	Retention time.Duration // least time for which the log service keeps an entry
	Keep      time.Duration // how long a finished job is remembered
	Hold      time.Duration // how long a submission waits for the log
	Ahead     int           // tasks assigned to a worker beyond its free capacity
	MaxWait   int           // records that may wait for the log; more submissions are refused
	Failures  int           // failed attempts after which a task is given up
}

// DefaultLimits returns the limits for production.
func DefaultLimits() Limits {
	return Limits{
		Lease:     30 * time.Second,
		Renew:     time.Second,
		Margin:    5 * time.Second,
		Horizon:   15 * time.Minute,
		Retention: 24 * time.Hour,
		Keep:      time.Hour,
		Hold:      10 * time.Second,
		Ahead:     2,
		MaxWait:   20_000,
		Failures:  3,
	}
}

// Without switches safety mechanisms off. It is used only in tests, which show that the checks notice.
type Without struct {
	Journal    journal.Checks
	ReadBack   bool // acts on an assignment before it is read back
	LeaseWait  bool // treats the lease at an unreachable worker as expired at once
	Inventory  bool // places before the workers' inventories are known
	Preempt    bool // never stops a task for an urgent one
	Clear      bool // keeps no worker free for a large task that has waited too long
	Quarantine bool // goes on using workers that fail everything
	Quotas     bool // lets teams exceed their quotas
	Holds      bool // lets batch work use what operators hold
	SelfFence  bool // acts after a pause or past the outage horizon without reading the stream
}

// ForKey returns the shard that owns the job with this idempotency key.
func ForKey(key string, shards int) oleanderline.ShardID {
	names := make([]oleanderline.VMID, shards)
	for i := range names {
		names[i] = oleanderline.VMID(strconv.Itoa(i))
	}
	n, _ := strconv.Atoi(string(member.Home(key, names)))
	return oleanderline.ShardID(n)
}

// ForWorker returns the shard of a worker. It depends only on the names of its failure domain and rack, because two
// owners that disagreed would both commit the worker. Racks are commonly numbered, so the sum of both numbers spreads
// the few racks of a small region more evenly than a hash.
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

// NewJobID returns the id of the job with an idempotency key. It names the shard, so that every process can find the
// owner from the id alone.
func NewJobID(key string, shards int) oleanderline.JobID {
	sum := sha256.Sum256([]byte(key))
	return oleanderline.JobID(fmt.Sprintf("%d-%x", ForKey(key, shards), sum[:12]))
}

// ParseJobID returns the shard that is part of a job id.
func ParseJobID(id oleanderline.JobID) (oleanderline.ShardID, error) {
	shard, _, found := strings.Cut(string(id), "-")
	n, err := strconv.Atoi(shard)
	if !found || err != nil || n < 0 {
		return 0, fmt.Errorf("job id %q: want SHARD-HASH", id)
	}
	return oleanderline.ShardID(n), nil
}
