package entry

import (
	"errors"
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline/pkg/setting"
)

// Settings of the entry daemon.
type Settings struct {
	setting.Shared

	DrainDelay   time.Duration `arg:"--drain-delay,env:OLEANDER_DRAIN_DELAY" help:"how long a planned stop keeps serving after readiness has failed"`
	Heartbeat    time.Duration `arg:"--heartbeat,env:OLEANDER_HEARTBEAT" help:"time between heartbeats to other entries; an entry that misses three counts as failed"`
	VMListPoll   time.Duration `arg:"--vm-list-poll,env:OLEANDER_VM_LIST_POLL" help:"time between reads of the VM list"`
	Memory       int           `arg:"--memory,env:OLEANDER_MEMORY" help:"memory in MiB that this process may use; the limits on what callers take up follow from it. 0 selects limits for a VM with 2 GiB or more"`
	Descriptors  int           `arg:"--descriptors,env:OLEANDER_DESCRIPTORS" help:"file descriptors that this process may open; 0 means that they do not limit the callers' connections"`
	KeyRetention time.Duration `arg:"--key-keep,env:OLEANDER_KEY_KEEP" help:"how long the result of an idempotency key is kept"`
}

// Limits of settings.
const (
	maxHeartbeat = 5 * time.Second
	// maxVMListPoll is below the 2 s in which this entry must learn that a minion is leaving. The rest is for the read of
	// the VM list.
	maxVMListPoll   = 1500 * time.Millisecond
	maxKeyRetention = time.Hour
	maxDrainDelay   = 10 * time.Minute
	// maxMissedHeartbeats is the number of missed heartbeats after which a peer counts as failed.
	maxMissedHeartbeats = 3
)

// DefaultSettings returns the settings that apply without flags and environment variables.
func DefaultSettings() Settings {
	return Settings{
		Shared: setting.DefaultShared(),
		// Load balancers usually check readiness every one or two seconds and need two failures.
		DrainDelay:   5 * time.Second,
		Heartbeat:    200 * time.Millisecond,
		VMListPoll:   500 * time.Millisecond,
		KeyRetention: 2 * time.Minute,
	}
}

// Validate returns all errors. Each contains the flag, the value and what is allowed.
func (s *Settings) Validate() error {
	return errors.Join(
		s.Shared.Validate(),
		setting.CheckRange("--drain-delay", s.DrainDelay, 0, maxDrainDelay),
		setting.CheckRange("--heartbeat", s.Heartbeat, 10*time.Millisecond, maxHeartbeat),
		setting.CheckRange("--vm-list-poll", s.VMListPoll, 10*time.Millisecond, maxVMListPoll),
		checkNotNegative("--memory", s.Memory),
		checkNotNegative("--descriptors", s.Descriptors),
		setting.CheckRange("--key-keep", s.KeyRetention, time.Second, maxKeyRetention),
	)
}

func checkNotNegative(flag string, value int) error {
	if value < 0 {
		return fmt.Errorf("%s=%d: must not be negative", flag, value)
	}
	return nil
}

func (s *Settings) heartbeatTimeout() time.Duration { return maxMissedHeartbeats * s.Heartbeat }
