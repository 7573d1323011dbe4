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
	// listenPatience is how long a process waits for a port that is taken: a connection that had it by chance while the process
	// was down ends, or the earlier process goes.
	listenPatience = 10 * time.Second
	listenRetry    = 100 * time.Millisecond
)

// Listen listens on a TCP address, and waits for a port that is taken.
func Listen(ctx context.Context, clock oleanderline.Clock, address string) (net.Listener, error) {
	began := clock.Now()
	for {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
		if err == nil {
			return listener, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || ctx.Err() != nil || clock.Now().Sub(began) > listenPatience {
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
		Sleep(ctx, clock, listenRetry)
	}
}

// CheckAddress reports an error that names the flag and the value unless value is an IP number and a port.
// An empty host is refused, because a daemon must not listen on every interface by accident.
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
