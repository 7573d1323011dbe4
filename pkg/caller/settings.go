package caller

import "time"

// Settings are the bounds on what callers send.
type Settings struct {
	DefaultTimeout time.Duration // without the header Oleander-Timeout
	MaxTimeout     time.Duration
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeadBytes      int           // part of a body that is kept in memory for a second try
	MaxBuffered    int64         // sum of the kept parts of all requests
	BodyGrace      time.Duration // time for which a body may be slower than BodyRate
	BodyRate       int64         // bytes a second
	MaxKeyBytes    int
}

// DefaultSettings returns the settings that the daemon uses.
func DefaultSettings() Settings {
	return Settings{
		DefaultTimeout: 30 * time.Second,
		MaxTimeout:     10 * time.Minute,
		MaxHeaderBytes: 32 << 10,
		MaxBodyBytes:   1 << 30,
		HeadBytes:      64 << 10,
		MaxBuffered:    256 << 20,
		BodyGrace:      5 * time.Second,
		// Callers are a few milliseconds away; less than this is a stuck or hostile sender.
		BodyRate:    1 << 10,
		MaxKeyBytes: 200,
	}
}
