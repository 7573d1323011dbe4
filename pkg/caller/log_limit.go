package caller

import (
	"sync"
	"time"
)

// logLimit bounds log lines to a number in each interval.
type logLimit struct {
	limit    int
	interval time.Duration

	mu    sync.Mutex
	start time.Time
	count int
}

func newLogLimit(limit int, interval time.Duration) *logLimit {
	return &logLimit{limit: limit, interval: interval}
}

func (l *logLimit) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.start) >= l.interval {
		l.start, l.count = now, 0
	}
	l.count++
	return l.count <= l.limit
}
