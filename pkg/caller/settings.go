package caller

import "time"

// Settings are the limits on callers' requests.
type Settings struct {
	DefaultTimeout time.Duration // applies without the header Oleander-Timeout
	MaxTimeout     time.Duration
	MaxHeaderBytes int
	MaxBodyBytes   int64
	MaxHeadBytes   int           // size of the head of a body, which is kept in memory for a retry
	MaxBuffered    int64         // total size of the heads of all requests
	BodyGrace      time.Duration // how long a body may arrive more slowly than MinBodyRate
	MinBodyRate    int64         // minimum rate of a body, in bytes per second
	MaxKeyBytes    int
}

// DefaultSettings returns the settings that the daemon uses.
func DefaultSettings() Settings {
	return Settings{
		DefaultTimeout: 30 * time.Second,
		MaxTimeout:     10 * time.Minute,
		MaxHeaderBytes: 32 << 10,
		MaxBodyBytes:   1 << 30,
		MaxHeadBytes:   64 << 10,
		MaxBuffered:    256 << 20,
		BodyGrace:      5 * time.Second,
		// Callers are a few milliseconds away; a slower sender is stuck or hostile.
		MinBodyRate: 1 << 10,
		MaxKeyBytes: 200,
	}
}
