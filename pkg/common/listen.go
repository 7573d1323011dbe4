package common

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/oleanderline/oleanderline"
)

const (
	// listenTimeout limits how long Listen waits for a port in use. The port becomes free when the previous process exits, or
	// when an outgoing connection ends that got it as its local port while the process was down.
	listenTimeout       = 10 * time.Second
	listenRetryInterval = 100 * time.Millisecond
)

// Listen listens on a TCP address. If the port is in use, it retries for up to listenTimeout.
func Listen(ctx context.Context, clock oleanderline.Clock, address string) (net.Listener, error) {
	start := clock.Now()
	for {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
		if err == nil {
			return listener, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || ctx.Err() != nil || clock.Now().Sub(start) > listenTimeout {
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
		Sleep(ctx, clock, listenRetryInterval)
	}
}

// CheckAddress returns an error that names the flag and the value, unless the value is an IP address and a port. An empty
// host is refused, so that a daemon does not listen on all interfaces by accident.
func CheckAddress(flag, value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return fmt.Errorf("%s=%q: want IP:PORT, such as 10.0.0.5:8080", flag, value)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%s=%q: %q is not an IP number", flag, value, host)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return fmt.Errorf("%s=%q: port must be a number from 0 to 65535", flag, value)
	}
	return nil
}
