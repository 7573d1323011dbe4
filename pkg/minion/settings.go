package minion

import "time"

// Settings of the connections to minions.
type Settings struct {
	DialTimeout    time.Duration
	KeepAlive      time.Duration // interval of TCP keep-alive probes
	ProvedAlive    time.Duration // how long an answer proves that a connection is not silent
	IdleTimeout    time.Duration // an idle connection is closed after this time
	StallTimeout   time.Duration // longest gap between two pieces of an answer's body
	MaxHeaderBytes int64         // of an answer
	BufferBytes    int           // read and write buffer of each connection
}

// DefaultSettings returns the settings that the daemons use.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout:  500 * time.Millisecond,
		KeepAlive:    15 * time.Second,
		ProvedAlive:  time.Second,
		IdleTimeout:  30 * time.Second,
		StallTimeout: 30 * time.Second,
		// Answers' headers are small; a minion that sends more is broken, and must not fill the entry's memory.
		MaxHeaderBytes: 64 << 10,
		BufferBytes:    4 << 10,
	}
}
