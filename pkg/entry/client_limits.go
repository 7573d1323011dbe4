package entry

import (
	"fmt"
	"math"
	"net"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/capacity"
	"github.com/oleanderline/oleanderline/pkg/clientlimits"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/connlimit"
)

const (
	megabyte = 1 << 20
	// memoryShare is the share of the memory of the process that the Go memory limit allows. The rest is for stacks, kernel buffers
	// and the program itself.
	memoryShare = 0.7
	// headShare is the share of the memory for the heads of bodies. It is more than the share for bodies of a process that also keeps
	// records of jobs.
	headShare = 0.15
	// answerTimeout is how long a caller may take no byte of an answer. Answers are streams of any length.
	answerTimeout = 30 * time.Second
)

// clientLimits returns the limits on what callers take up.
func (d *Daemon) clientLimits() clientlimits.Limits {
	memory := oleanderline.ByteCount(d.settings.Memory) * megabyte
	// Only the descriptors limit how many are kept for connections to minions.
	limits := clientlimits.For(capacity.VM{Cores: math.MaxInt32, Files: d.settings.Descriptors}, memory)
	if limits.Connections == 0 || limits.Connections > maxCallerConnections {
		limits.Connections = maxCallerConnections
	}
	return limits
}

// MemoryLimit returns the limit for the memory of the Go runtime, in bytes. It is 0 if the settings have no limit on memory.
func (s *Settings) MemoryLimit() int64 { return int64(float64(s.Memory) * megabyte * memoryShare) }

// limitHeads bounds the memory for the heads of bodies, if the settings have a limit on memory.
func (d *Daemon) limitHeads() {
	if d.settings.Memory > 0 {
		d.config.caller.MaxBuffered = min(d.config.caller.MaxBuffered, int64(float64(d.settings.Memory)*megabyte*headShare))
	}
}

// listenForCallers limits the connections of callers.
func (d *Daemon) listenForCallers() (*connlimit.Listener, error) {
	inner, ok := d.listeners[0].(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("listener %s is not a TCP listener", d.listeners[0].Addr())
	}
	listener := connlimit.New(d.common, common.NewSystemClock(), inner, connlimit.WithWriteTimeout(answerTimeout), connlimit.WithSendBuffer(0))
	limits := d.clientLimits()
	listener.SetLimits(limits.Connections, limits.Headers)
	d.callerServer.ConnState, d.callerServer.ConnContext = listener.ConnState, listener.ConnContext
	return listener, nil
}
