// Package setting holds the settings common to the entry and scheduler daemons, and functions that validate settings.
package setting

import (
	"errors"
	"fmt"
	"net"

	"github.com/sirupsen/logrus"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

// Shared holds the settings common to both daemons. The Settings of each daemon embed it.
type Shared struct {
	ID             string `arg:"--id,env:OLEANDER_ID" help:"id of this VM in the VM list"`
	Region         string `arg:"--region,env:OLEANDER_REGION" help:"region of this VM"`
	Domain         string `arg:"--domain,env:OLEANDER_DOMAIN" help:"failure domain of this VM"`
	Listen         string `arg:"--listen,env:OLEANDER_LISTEN" help:"IP:PORT for callers"`
	PeerListen     string `arg:"--peer-listen,env:OLEANDER_PEER_LISTEN" help:"IP:PORT for the same daemon on the other VMs that run it; the port is the same on all of them"`
	OperatorListen string `arg:"--operator-listen,env:OLEANDER_OPERATOR_LISTEN" help:"IP:PORT for operators and metrics"`
	Key            string `arg:"--key,env:OLEANDER_KEY" help:"secret key shared by all processes of the system and its operators"`
	LogService     string `arg:"--log-service,env:OLEANDER_LOG_SERVICE" help:"base URL of the log service"`
	VMList         string `arg:"--vm-list,env:OLEANDER_VM_LIST" help:"base URL of the VM list"`
	LogLevel       string `arg:"--log-level,env:OLEANDER_LOG_LEVEL" help:"debug, info, warning or error"`
}

// minKeyBytes is the minimum length of the shared key, so that it cannot be guessed by trial.
const minKeyBytes = 16

// DefaultShared returns the defaults of settings not given by flags or environment variables.
func DefaultShared() Shared { return Shared{LogLevel: "info"} }

// Validate returns all errors joined. Each names the flag, the value and what is allowed.
func (s *Shared) Validate() error {
	return errors.Join(
		CheckNotEmpty("--id", s.ID),
		CheckNotEmpty("--region", s.Region),
		CheckNotEmpty("--domain", s.Domain),
		common.CheckAddress("--listen", s.Listen),
		s.checkPeerListen(),
		common.CheckAddress("--operator-listen", s.OperatorListen),
		s.checkKey(),
		CheckURL("--log-service", s.LogService),
		CheckURL("--vm-list", s.VMList),
		s.checkLogLevel(),
	)
}

func (s *Shared) checkPeerListen() error {
	if err := common.CheckAddress("--peer-listen", s.PeerListen); err != nil {
		return err
	}
	host, _, _ := net.SplitHostPort(s.PeerListen)
	if net.ParseIP(host).IsUnspecified() {
		return fmt.Errorf("--peer-listen=%q: must be the IP number under which the VM list has this VM", s.PeerListen)
	}
	return nil
}

// checkKey checks the length of the key. The message does not contain the key, which is secret.
func (s *Shared) checkKey() error {
	if len(s.Key) < minKeyBytes {
		return fmt.Errorf("--key (%d characters): must have at least %d characters", len(s.Key), minKeyBytes)
	}
	return nil
}

func (s *Shared) checkLogLevel() error {
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		return fmt.Errorf("--log-level=%q: want debug, info, warning or error", s.LogLevel)
	}
	return nil
}

// VMID returns the id of this VM.
func (s *Shared) VMID() oleanderline.VMID { return oleanderline.VMID(s.ID) }
