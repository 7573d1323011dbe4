package plan

import "time"

// obstacle is the reason for which a ready task has not been placed. A later value is nearer to a placement, so the highest one
// among the workers says what a task waits for.
type obstacle int

const (
	obstacleNone         obstacle = iota
	obstacleWorker                // no worker is usable: not served, unreachable, draining, in quarantine, or of another pool or label
	obstacleDomain                // only workers are left whose failure domain is out of service
	obstacleRoom                  // no usable worker has room
	obstacleInterference          // it would interfere with long-running tasks on all workers with room
	obstacleExposure              // the workers left have best-effort tasks about which too little is known yet
	obstacleMoving                // images are being moved away from the workers left
	obstacleTicket                // the adviser has permitted no worker that is left
	obstacleHeadroom              // the room is kept for batch tasks
	obstacleFailures              // every run of the step has failed, and enough of its tasks run again
)

// String returns the name used in logs.
func (o obstacle) String() string {
	return [...]string{"", "worker", "domain", "room", "interference", "exposure", "moving", "ticket", "headroom", "failures"}[o]
}

// obstacleOn returns what keeps a task from being started on a worker now.
func (p *Planner) obstacleOn(w *worker, t *task, now time.Time) obstacle {
	switch {
	case w.outOfService && w.inDirectory && w.matches(t.group):
		return obstacleDomain
	case !w.schedulable(now) || !w.matches(t.group):
		return obstacleWorker
	case !w.hasRoom(t.group):
		return obstacleRoom
	case p.mustSeparate(w, t, now):
		return obstacleInterference
	case p.exceedsExposure(w, t):
		return obstacleExposure
	case w.avoidedBy(t, now):
		return obstacleMoving
	}
	if _, ok := t.group.ticketFor(w, now); !ok {
		return obstacleTicket
	}
	return obstacleNone
}

// canPlace reports whether a task may start on a worker now.
func (p *Planner) canPlace(w *worker, t *task, now time.Time) bool {
	return p.obstacleOn(w, t, now) == obstacleNone
}
