package common

import (
	"fmt"
	"net"
	"strconv"
)

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
