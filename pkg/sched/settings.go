// Package sched is the scheduler daemon: it connects the shard cores to the log service, the VM list, the workers, other
// schedulers, callers and operators.
package sched

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/setting"
	"github.com/oleanderline/oleanderline/pkg/shard"
)

// Settings are the settings of the scheduler daemon.
type Settings struct {
	setting.Shared

	Shards        int           `arg:"--shards,env:OLEANDER_SHARDS" help:"number of shards of the region; the same at all own VMs, and fixed"`
	Lease         time.Duration `arg:"--lease,env:OLEANDER_LEASE" help:"lease of a task at its worker"`
	Renew         time.Duration `arg:"--renew,env:OLEANDER_RENEW" help:"time between two renewals of a worker that runs tasks"`
	Horizon       time.Duration `arg:"--horizon,env:OLEANDER_HORIZON" help:"how long leases are renewed while the log service cannot be read"`
	Retention     time.Duration `arg:"--retention,env:OLEANDER_RETENTION" help:"least time for which the log service keeps an entry"`
	AnswerTimeout time.Duration `arg:"--hold,env:OLEANDER_HOLD" help:"how long a submission waits for the log service"`
	Heartbeat     time.Duration `arg:"--heartbeat,env:OLEANDER_HEARTBEAT" help:"time between heartbeats to other schedulers; a scheduler that misses four counts as failed"`
	VMListPoll    time.Duration `arg:"--vm-list-poll,env:OLEANDER_VM_LIST_POLL" help:"time between reads of the VM list"`
	StopTimeout   time.Duration `arg:"--stop-bound,env:OLEANDER_STOP_BOUND" help:"how long a planned stop waits for other schedulers to take over"`
}

// Bounds of settings.
const (
	maxShards = 64
	// maxMissedHeartbeats is the number of missed heartbeats after which a peer counts as failed.
	maxMissedHeartbeats = 4
)

// DefaultSettings returns the settings used where neither a flag nor an environment variable is given.
func DefaultSettings() Settings {
	limits := shard.DefaultLimits()
	return Settings{
		Shared: setting.DefaultShared(),
		// Four streams with 20 appends per second each stay within the limit of 100 appends per second for all own VMs.
		Shards:        4,
		Lease:         limits.Lease,
		Renew:         limits.Renew,
		Horizon:       limits.Horizon,
		Retention:     limits.Retention,
		AnswerTimeout: limits.AnswerTimeout,
		Heartbeat:     500 * time.Millisecond,
		VMListPoll:    time.Second,
		StopTimeout:   10 * time.Second,
	}
}

// Validate returns all errors joined. Each gives the flag, its value and the allowed range.
func (s *Settings) Validate() error {
	return errors.Join(
		s.Shared.Validate(),
		s.checkShards(),
		setting.CheckRange("--lease", s.Lease, 3*time.Second, 10*time.Minute),
		setting.CheckRange("--renew", s.Renew, 50*time.Millisecond, s.Lease/3),
		setting.CheckRange("--horizon", s.Horizon, s.Lease, s.Retention/4),
		setting.CheckRange("--retention", s.Retention, time.Minute, 365*24*time.Hour),
		setting.CheckRange("--hold", s.AnswerTimeout, 100*time.Millisecond, time.Minute),
		setting.CheckRange("--heartbeat", s.Heartbeat, 10*time.Millisecond, 2*time.Second),
		setting.CheckRange("--vm-list-poll", s.VMListPoll, 10*time.Millisecond, time.Minute),
		setting.CheckRange("--stop-bound", s.StopTimeout, 0, 10*time.Minute),
	)
}

func (s *Settings) checkShards() error {
	if s.Shards < 1 || s.Shards > maxShards {
		return fmt.Errorf("--shards=%d: must be from 1 to %d", s.Shards, maxShards)
	}
	return nil
}

func (s *Settings) limits() shard.Limits {
	limits := shard.DefaultLimits()
	limits.Lease, limits.Renew, limits.Horizon = s.Lease, s.Renew, s.Horizon
	limits.Retention, limits.AnswerTimeout = s.Retention, s.AnswerTimeout
	limits.Margin = max(limits.Margin, 2*callTimeout)
	// An owner that has lost its shard without noticing may repeat the offer of a moved task until the horizon has passed,
	// so the shard that finished the task must keep it for longer. Half of the retention is long enough, because the
	// horizon is at most a quarter of it.
	limits.JobRetention = min(max(limits.JobRetention, 2*s.Horizon), s.Retention/2)
	return limits
}

func (s *Settings) region() oleanderline.RegionID { return oleanderline.RegionID(s.Region) }

// peerAddress returns the peer address of the scheduler on another own VM: the IP number from the VM list with this
// process's peer port.
func (s *Settings) peerAddress(listed string) string {
	host, _, err := net.SplitHostPort(listed)
	if err != nil {
		host = listed
	}
	_, port, _ := net.SplitHostPort(s.PeerListen)
	return net.JoinHostPort(host, port)
}
