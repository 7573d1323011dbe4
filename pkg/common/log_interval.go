package common

import (
	"sync/atomic"
	"time"
)

// logInterval is the least time between two lines of an event that clients can cause at any rate.
const logInterval = 5 * time.Second

// LogInterval limits an event to one log line in each interval. The zero value allows the first line.
type LogInterval struct {
	last atomic.Int64 // time of the last line in Unix nanoseconds
}

// Allow reports whether a line may be logged now.
func (l *LogInterval) Allow(now time.Time) bool {
	last := l.last.Load()
	if last != 0 && now.UnixNano()-last < int64(logInterval) {
		return false
	}
	return l.last.CompareAndSwap(last, now.UnixNano())
}
