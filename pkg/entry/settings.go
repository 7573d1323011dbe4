package entry

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

// Settings of the entry daemon.
type Settings struct {
	ID             string        `arg:"--id,env:OLEANDER_ID" help:"id of this VM in the VM list"`
	Region         string        `arg:"--region,env:OLEANDER_REGION" help:"region of this VM"`
	Domain         string        `arg:"--domain,env:OLEANDER_DOMAIN" help:"failure domain of this VM"`
	Listen         string        `arg:"--listen,env:OLEANDER_LISTEN" help:"IP:PORT for callers"`
	PeerListen     string        `arg:"--peer-listen,env:OLEANDER_PEER_LISTEN" help:"IP:PORT for other entries; all own VMs use the same port"`
	OperatorListen string        `arg:"--operator-listen,env:OLEANDER_OPERATOR_LISTEN" help:"IP:PORT for operators and metrics"`
	Key            string        `arg:"--key,env:OLEANDER_KEY" help:"key shared by all own VMs and operators"`
	LogService     string        `arg:"--log-service,env:OLEANDER_LOG_SERVICE" help:"base URL of the log service"`
	VMList         string        `arg:"--vm-list,env:OLEANDER_VM_LIST" help:"base URL of the VM list"`
	LogLevel       string        `arg:"--log-level,env:OLEANDER_LOG_LEVEL" help:"debug, info, warning or error"`
	DrainDelay     time.Duration `arg:"--drain-delay,env:OLEANDER_DRAIN_DELAY" help:"how long a planned stop keeps serving after readiness has failed"`
	Heartbeat      time.Duration `arg:"--heartbeat,env:OLEANDER_HEARTBEAT" help:"time between heartbeats to other entries; three missed ones count as lost"`
	VMListPoll     time.Duration `arg:"--vm-list-poll,env:OLEANDER_VM_LIST_POLL" help:"time between reads of the VM list"`
	KeyKeep        time.Duration `arg:"--key-keep,env:OLEANDER_KEY_KEEP" help:"how long the result of an idempotency key is kept"`
}

// Bounds of settings.
const (
	minKeyBytes  = 16
	maxHeartbeat = 5 * time.Second
	// maxVMListPoll leaves the rest of the 2 s in which a leaving minion must be known to the read itself.
	maxVMListPoll = 1500 * time.Millisecond
	maxKeyKeep    = time.Hour
	maxDrainDelay = 10 * time.Minute
	// heartbeatsMissed is the number of missed heartbeats after which a peer counts as lost.
	heartbeatsMissed = 3
)

// DefaultSettings returns the settings that apply without flags and environment variables.
func DefaultSettings() Settings {
	return Settings{
		LogLevel: "info",
		// Balancers usually look every one or two seconds and want two failures.
		DrainDelay: 5 * time.Second,
		Heartbeat:  200 * time.Millisecond,
		VMListPoll: 500 * time.Millisecond,
		KeyKeep:    2 * time.Minute,
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
		within("--drain-delay", s.DrainDelay, 0, maxDrainDelay),
		within("--heartbeat", s.Heartbeat, 10*time.Millisecond, maxHeartbeat),
		within("--vm-list-poll", s.VMListPoll, 10*time.Millisecond, maxVMListPoll),
		within("--key-keep", s.KeyKeep, time.Second, maxKeyKeep),
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

func checkURL(flag, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return fmt.Errorf("%s=%q: want a base URL such as http://10.0.0.9:7000", flag, value)
	}
	return nil
}

func (s *Settings) checkLogLevel() error {
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		return fmt.Errorf("--log-level=%q: want debug, info, warning or error", s.LogLevel)
	}
	return nil
}

func within(flag string, value, low, high time.Duration) error {
	if value < low || value > high {
		return fmt.Errorf("%s=%s: must be from %s to %s", flag, value, low, high)
	}
	return nil
}

func (s *Settings) heartbeatTimeout() time.Duration { return heartbeatsMissed * s.Heartbeat }

func (s *Settings) vmID() oleanderline.VMID { return oleanderline.VMID(s.ID) }
