// Package sched assembles the scheduler daemon.
package sched

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/shard"
)

// Settings of the scheduler daemon.
type Settings struct {
	ID             string        `arg:"--id,env:OLEANDER_ID" help:"id of this VM in the VM list"`
	Region         string        `arg:"--region,env:OLEANDER_REGION" help:"region of this VM"`
	Domain         string        `arg:"--domain,env:OLEANDER_DOMAIN" help:"failure domain of this VM"`
	Listen         string        `arg:"--listen,env:OLEANDER_LISTEN" help:"IP:PORT for callers"`
	PeerListen     string        `arg:"--peer-listen,env:OLEANDER_PEER_LISTEN" help:"IP:PORT for other schedulers; all own VMs use the same port"`
	OperatorListen string        `arg:"--operator-listen,env:OLEANDER_OPERATOR_LISTEN" help:"IP:PORT for operators and metrics"`
	Key            string        `arg:"--key,env:OLEANDER_KEY" help:"key shared by all own VMs and operators"`
	LogService     string        `arg:"--log-service,env:OLEANDER_LOG_SERVICE" help:"base URL of the log service"`
	VMList         string        `arg:"--vm-list,env:OLEANDER_VM_LIST" help:"base URL of the VM list"`
	LogLevel       string        `arg:"--log-level,env:OLEANDER_LOG_LEVEL" help:"debug, info, warning or error"`
	Shards         int           `arg:"--shards,env:OLEANDER_SHARDS" help:"number of shards of the region; the same at all own VMs, and fixed"`
	Lease          time.Duration `arg:"--lease,env:OLEANDER_LEASE" help:"lease of a task at its worker"`
	Renew          time.Duration `arg:"--renew,env:OLEANDER_RENEW" help:"time between two renewals of a worker that runs tasks"`
	Horizon        time.Duration `arg:"--horizon,env:OLEANDER_HORIZON" help:"how long leases are renewed while the log service cannot be read"`
	Retention      time.Duration `arg:"--retention,env:OLEANDER_RETENTION" help:"least time for which the log service keeps an entry"`
	Hold           time.Duration `arg:"--hold,env:OLEANDER_HOLD" help:"how long a submission waits for the log service"`
	Heartbeat      time.Duration `arg:"--heartbeat,env:OLEANDER_HEARTBEAT" help:"time between heartbeats to other schedulers; four missed ones count as lost"`
	VMListPoll     time.Duration `arg:"--vm-list-poll,env:OLEANDER_VM_LIST_POLL" help:"time between reads of the VM list"`
	StopBound      time.Duration `arg:"--stop-bound,env:OLEANDER_STOP_BOUND" help:"how long a planned stop waits for other schedulers to take over"`
}

// Bounds of settings.
const (
	minKeyBytes      = 16
	maxShards        = 64
	heartbeatsMissed = 4
)

// DefaultSettings returns the settings that apply without flags and environment variables.
func DefaultSettings() Settings {
	limits := shard.DefaultLimits()
	return Settings{
		LogLevel: "info",
		// Four streams with 20 appends a second each stay within the 100 appends a second of all own VMs.
		Shards:     4,
		Lease:      limits.Lease,
		Renew:      limits.Renew,
		Horizon:    limits.Horizon,
		Retention:  limits.Retention,
		Hold:       limits.Hold,
		Heartbeat:  500 * time.Millisecond,
		VMListPoll: time.Second,
		StopBound:  10 * time.Second,
	}
}

// Validate reports all errors. Each names the flag, the value and what is allowed.
func (s *Settings) Validate() error {
	return errors.Join(
		needed("--id", s.ID),
		needed("--region", s.Region),
		needed("--domain", s.Domain),
		common.CheckAddress("--listen", s.Listen),
		s.checkPeerListen(),
		common.CheckAddress("--operator-listen", s.OperatorListen),
		s.checkKey(),
		checkURL("--log-service", s.LogService),
		checkURL("--vm-list", s.VMList),
		s.checkLogLevel(),
		s.checkShards(),
		within("--lease", s.Lease, 3*time.Second, 10*time.Minute),
		within("--renew", s.Renew, 50*time.Millisecond, s.Lease/3),
		within("--horizon", s.Horizon, s.Lease, 24*time.Hour),
		within("--retention", s.Retention, time.Minute, 365*24*time.Hour),
		within("--hold", s.Hold, 100*time.Millisecond, time.Minute),
		within("--heartbeat", s.Heartbeat, 10*time.Millisecond, 2*time.Second),
		within("--vm-list-poll", s.VMListPoll, 10*time.Millisecond, time.Minute),
		within("--stop-bound", s.StopBound, 0, 10*time.Minute),
	)
}

func needed(flag, value string) error {
	if value == "" {
		return fmt.Errorf("%s=%q: must not be empty", flag, value)
	}
	return nil
}

func (s *Settings) checkPeerListen() error {
	if err := common.CheckAddress("--peer-listen", s.PeerListen); err != nil {
		return err
	}
	host, _, _ := net.SplitHostPort(s.PeerListen)
	if net.ParseIP(host).IsUnspecified() {
		return fmt.Errorf("--peer-listen=%q: must be the IP number under which the VM list has this VM", s.PeerListen)
	}
	return nil
}

// checkKey keeps the key itself out of the message.
func (s *Settings) checkKey() error {
	if len(s.Key) < minKeyBytes {
		return fmt.Errorf("--key (%d characters): must have at least %d characters", len(s.Key), minKeyBytes)
	}
	return nil
}

func (s *Settings) checkShards() error {
	if s.Shards < 1 || s.Shards > maxShards {
		return fmt.Errorf("--shards=%d: must be from 1 to %d", s.Shards, maxShards)
	}
	return nil
}

func (s *Settings) checkLogLevel() error {
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		return fmt.Errorf("--log-level=%q: want debug, info, warning or error", s.LogLevel)
	}
	return nil
}

func checkURL(flag, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return fmt.Errorf("%s=%q: want a base URL such as http://10.0.0.9:7000", flag, value)
	}
	return nil
}

func within(flag string, value, low, high time.Duration) error {
	if value < low || value > high {
		return fmt.Errorf("%s=%s: must be from %s to %s", flag, value, low, high)
	}
	return nil
}

func (s *Settings) limits() shard.Limits {
	limits := shard.DefaultLimits()
	limits.Lease, limits.Renew, limits.Horizon = s.Lease, s.Renew, s.Horizon
	limits.Retention, limits.Hold = s.Retention, s.Hold
	limits.Margin = max(limits.Margin, 2*callTimeout)
	limits.Keep = min(limits.Keep, s.Retention/2)
	return limits
}

func (s *Settings) vmID() oleanderline.VMID { return oleanderline.VMID(s.ID) }

func (s *Settings) region() oleanderline.RegionID { return oleanderline.RegionID(s.Region) }

// peerAddress returns the address of the scheduler on another own VM: its IP number with the own peer port.
func (s *Settings) peerAddress(listed string) string {
	host, _, err := net.SplitHostPort(listed)
	if err != nil {
		host = listed
	}
	_, port, _ := net.SplitHostPort(s.PeerListen)
	return net.JoinHostPort(host, port)
}
