package caller

import (
	"sync"
	"time"
)

// logLimiter limits the number of log lines in each interval.
type logLimiter struct {
	limit    int
	interval time.Duration

	mu    sync.Mutex
	start time.Time
	count int
}

func newLogLimiter(limit int, interval time.Duration) *logLimiter {
	return &logLimiter{limit: limit, interval: interval}
}

// allow reports whether another line may be logged now.
func (l *logLimiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.start) >= l.interval {
		l.start, l.count = now, 0
	}
	l.count++
	return l.count <= l.limit
}
