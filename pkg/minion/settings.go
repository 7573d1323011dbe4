package minion

import "time"

// Settings of the connections to minions.
type Settings struct {
	DialTimeout    time.Duration
	KeepAlive      time.Duration // interval of TCP keep-alive probes
	AliveWindow    time.Duration // time after an answer for which a connection is assumed to be alive
	IdleTimeout    time.Duration // an idle connection is closed after this time
	StallTimeout   time.Duration // maximum time during which no data is read from an answer's body
	MaxHeaderBytes int64         // of an answer's header
	BufferBytes    int           // size of the read buffer and of the write buffer of each connection
}

// DefaultSettings returns the settings that the daemons use.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout:  500 * time.Millisecond,
		KeepAlive:    15 * time.Second,
		AliveWindow:  time.Second,
		IdleTimeout:  30 * time.Second,
		StallTimeout: 30 * time.Second,
		// Answers have small headers. The limit protects the entry's memory from a faulty minion.
		MaxHeaderBytes: 64 << 10,
		BufferBytes:    4 << 10,
	}
}
