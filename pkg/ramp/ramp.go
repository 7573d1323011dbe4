// Package ramp bounds the load of a worker whose failure domain returns to service. The worker may be slow for some seconds, and it is
// the emptiest one, so without a bound it would receive most tasks that wait. It does no I/O and reads no clock.
package ramp

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

const (
	// initialShare is the share of the worker's CPU that new tasks may take before any task has finished.
	initialShare = 0.25
	// maxDuration is how long the bound holds at most, because a worker without tasks proves nothing.
	maxDuration = 10 * time.Second
)

// Ramp is the bound of one worker. It doubles with each round of finished tasks, like the window of a connection that begins.
type Ramp struct {
	capacity oleanderline.Millicores
	allowed  oleanderline.Millicores
	end      time.Time
}

// New returns the bound of a worker that has returned at a time, with tasks that hold committed.
func New(capacity, committed oleanderline.Millicores, returnedAt time.Time) *Ramp {
	allowed := committed + oleanderline.Millicores(initialShare*float64(capacity))
	return &Ramp{capacity: capacity, allowed: allowed, end: returnedAt.Add(maxDuration)}
}

// Admits reports whether a task may start that needs some CPU, while others hold committed. An idle worker admits any task, because a
// large one would otherwise wait for the end of the bound.
func (r *Ramp) Admits(committed, need oleanderline.Millicores) bool {
	return committed == 0 || committed+need <= r.allowed
}

// Finished records that a task that held some CPU has finished as it should.
func (r *Ramp) Finished(cpu oleanderline.Millicores) { r.allowed += cpu }

// Over reports whether the bound has ended.
func (r *Ramp) Over(now time.Time) bool { return r.allowed >= r.capacity || !now.Before(r.end) }
