// Package burn counts good and bad requests against the service-level objectives, in bounded memory, and tells how fast
// each service uses up its error budget. It is pure: the caller passes the time.
package burn

import "time"

// Window is one of the times over which requests are counted. A burn rate that is high over a long window and over its
// short one is a fault that is still going on.
type Window int

// Windows, in pairs of a long and a short one.
const (
	Window1h Window = iota
	Window5m
	Window6h
	Window30m
	Window3d
	Window6h3d // the short window beside 3 d; it has coarser buckets than Window6h
	windows
)

// String returns the name used in reports.
func (w Window) String() string {
	return [...]string{"1h", "5m", "6h", "30m", "3d", "6h (of 3d)"}[w]
}

// level is a ring of buckets that serves a long window and its short one.
type level struct {
	width       time.Duration // of one bucket
	long, short int           // buckets of the windows
}

// levels trade memory against resolution: a window is off by at most one bucket, which is a fifth of the 5 min window, a
// sixth of the others.
var levels = [...]level{
	{width: time.Minute, long: 60, short: 5},
	{width: 5 * time.Minute, long: 72, short: 6},
	{width: time.Hour, long: 72, short: 6},
}
