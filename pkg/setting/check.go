package setting

import (
	"fmt"
	"net/url"
	"time"
)

// CheckNotEmpty returns an error if the value of a flag is empty.
func CheckNotEmpty(flag, value string) error {
	if value == "" {
		return fmt.Errorf("%s=%q: must not be empty", flag, value)
	}
	return nil
}

// CheckURL returns an error unless the value of a flag is a base URL with scheme http and a host.
func CheckURL(flag, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return fmt.Errorf("%s=%q: want a base URL such as http://10.0.0.9:7000", flag, value)
	}
	return nil
}

// CheckRange returns an error unless low <= value <= high.
func CheckRange(flag string, value, low, high time.Duration) error {
	if value < low || value > high {
		return fmt.Errorf("%s=%s: must be from %s to %s", flag, value, low, high)
	}
	return nil
}
