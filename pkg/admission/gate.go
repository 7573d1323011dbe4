// Package admission decides on one node which new jobs it accepts while the leader refuses jobs, and when a refused caller should
// return. It answers overload that comes from a part of the callers. Without it every node refuses all callers, also those that send no more
// than before, and all that were refused return at the moment at which the leader expects to be able to start their tasks.
package admission

import "time"

const (
	// guaranteedShare is the part of the leader's rate of starts that is divided among the nodes while the leader refuses jobs. The rest
	// works off the backlog.
	guaranteedShare = 0.5
	// maxCredit is for how long a node keeps the part of its share that its callers have not used.
	maxCredit = 2 * time.Second
	// maxDebt bounds what a node has used beyond its share, also while nothing was refused. It is the backlog at which refusals begin.
	maxDebt = 6 * time.Second
	// maxTurn is the latest time at which a caller is asked to return. Later turns would outlast the backlog that they are computed from, so
	// the next caller gets the first turn again.
	maxTurn = 30 * time.Second
)

// Gate counts the tasks of the jobs that a node accepts against the node's share of the leader's rate of starts. While the leader
// refuses no job, all are accepted: shares that others leave unused are lent. While it refuses jobs, a node goes on accepting as long as
// its callers have used less than its share. The zero value is a gate without credit. It is not safe for concurrent use.
type Gate struct {
	credit   float64   // tasks that may be accepted while the leader refuses jobs; negative after more than the share was used
	filledAt time.Time // when the credit was last increased; zero while the rate of starts is not known
	lastTurn time.Time // when the caller that was refused last should return
}

// Part returns the equal part of one of a number of nodes in the rate of starts, in tasks a second. It is 0 while the rate is not known.
func Part(rate float64, nodes int) float64 { return rate / float64(max(1, nodes)) }

// Admit reports whether a job with a number of tasks is accepted, and counts the tasks if so. refused is whether the leader refuses it,
// part the result of Part.
func (g *Gate) Admit(tasks int, refused bool, part float64, now time.Time) bool {
	share := guaranteedShare * part
	g.fill(share, now)
	if refused && g.credit <= 0 {
		return false
	}
	g.credit = max(g.credit-float64(tasks), -share*maxDebt.Seconds())
	return true
}

// fill adds the share of the time since the last call to the credit.
func (g *Gate) fill(share float64, now time.Time) {
	if share <= 0 {
		g.credit, g.filledAt = 0, time.Time{}
		return
	}
	if !g.filledAt.IsZero() {
		g.credit = min(g.credit+share*now.Sub(g.filledAt).Seconds(), share*maxCredit.Seconds())
	}
	g.filledAt = now
}

// Turn returns after what time the caller of a refused job with a number of tasks should return: no sooner than after wait, which the leader
// needs for its backlog, and after those that were refused before it. Turns are as far apart as starting the tasks takes at the node's part
// of the rate.
func (g *Gate) Turn(tasks int, wait time.Duration, part float64, now time.Time) time.Duration {
	turn := now.Add(wait)
	if part > 0 {
		next := g.lastTurn.Add(time.Duration(float64(tasks) / part * float64(time.Second)))
		if next.After(turn) && next.Sub(now) <= maxTurn {
			turn = next
		}
	}
	g.lastTurn = turn
	return turn.Sub(now)
}
