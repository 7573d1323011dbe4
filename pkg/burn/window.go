// Package burn counts good and bad requests against the service-level objectives, in bounded memory, and computes the
// burn rate of each service's error budget. It reads no clock: the caller passes the time.
package burn

import "time"

// Window is a time window over which requests are counted. A high burn rate over both a long window and its short one means
// that a fault is still going on.
type Window int

// Windows, in pairs of a long and a short one.
const (
	Window1h Window = iota
	Window5m
	Window6h
	Window30m
	Window3d
	Window6h3d // the short window of the pair with 3 d; its buckets are coarser than those of Window6h
	windows
)

// String returns the window's name as it appears in reports.
func (w Window) String() string {
	return [...]string{"1h", "5m", "6h", "30m", "3d", "6h (of 3d)"}[w]
}

// level describes a ring of buckets that covers a long window and its short one.
type level struct {
	bucketWidth               time.Duration
	longBuckets, shortBuckets int // number of buckets in the two windows
}

// levels trade memory against resolution: the length of a window is off by at most one bucket, which is a fifth of the
// 5 min window and a sixth of the other short windows.
var levels = [...]level{
	{bucketWidth: time.Minute, longBuckets: 60, shortBuckets: 5},
	{bucketWidth: 5 * time.Minute, longBuckets: 72, shortBuckets: 6},
	{bucketWidth: time.Hour, longBuckets: 72, shortBuckets: 6},
}
