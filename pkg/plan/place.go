package plan

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/pairs"
)

const (
	// fullPause is how long a worker that has refused a start for want of room gets nothing new.
	fullPause = 200 * time.Millisecond
	// unhealthyPause is the same for one that says that it is not healthy.
	unhealthyPause = time.Second
	// servingLoad is the share of their declared processors that lasting tasks use on average.
	servingLoad = 0.5
	// lateFactor of its objective is when a job earns nothing any more.
	lateFactor = 3
)

// Place starts what can be started now, at most about as many tasks as most says. wall is the time of day, which decides about
// due times.
func (p *Planner) Place(now, wall time.Time, most int) {
	p.now = now
	if !p.settled(now) {
		return
	}
	p.giveUpUnseen(now)
	p.check(now)
	p.openDue(wall)
	if len(p.open) == 0 {
		return
	}
	most = min(most, startsAtOnce)
	unseen := p.unseenMayRun(now)
	started, groups := 0, 0
	for _, c := range p.candidates(now) {
		if now.Before(c.group.rankAt) {
			continue
		}
		if started >= most || groups >= rankedAtOnce {
			return // the next pass goes on
		}
		groups++
		if c.group.step.Gang {
			p.placeGang(c.group, unseen, now)
			continue
		}
		started += p.placeGroup(c.group, unseen, now, most-started)
	}
}

// candidate is a group with the figures that decide its turn.
type candidate struct {
	group *group
	late  bool
	slack time.Duration
}

// candidates orders the groups that have ready tasks: lasting tasks and high priority first, then those that can still be
// in time, by the time that is left beyond their longest path. It answers a load with more work than room, where serving
// late jobs first would make all of them late.
func (p *Planner) candidates(now time.Time) []candidate {
	list := make([]candidate, 0, len(p.open))
	for g := range p.open {
		objective := g.job.objective()
		waited := now.Sub(g.job.arrived)
		remaining := g.job.chain[g.index]
		list = append(list, candidate{
			group: g,
			late:  !g.step.Lasting && waited+remaining > lateFactor*objective,
			slack: objective - waited - remaining,
		})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.group.job.queue.Priority, b.group.job.queue.Priority),
			compareBool(a.late, b.late),
			compareBool(!a.group.step.Lasting, !b.group.step.Lasting),
			cmp.Compare(a.slack, b.slack),
			cmp.Compare(a.group.job.spec.ID, b.group.job.spec.ID),
			cmp.Compare(a.group.number(), b.group.number()),
		)
	})
	return list
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// placeGroup starts tasks of a group, at most as many as most says, and returns how many.
func (p *Planner) placeGroup(g *group, unseen bool, now time.Time, most int) int {
	g.next = 0
	var r ranking
	started := 0
	for started < most {
		t := g.takeReady()
		if t == nil {
			return started
		}
		if t.mayRunUnseen(unseen) {
			g.next++
			continue
		}
		if r == nil || g.step.SameRack { // the rack of the first task decides about the others
			r = p.rank(t, now)
		}
		i := p.best(&r, t, now)
		if i < 0 || !p.leavesHeadroom(t) {
			g.rankAt = now.Add(p.rankPause())
			p.ask(g, now)
			return started
		}
		p.start(t, r[i].worker, max(t.run, p.runBase)+1, now)
		p.moved(r, i, t)
		started++
	}
	return started
}

// holds reports whether the worker has room for one more task of the group.
func (w *worker) holds(g *group) bool {
	need := g.step.Size
	if g.step.Filler {
		if w.leftover() < need.CPU && w.filling > 0 {
			return false
		}
		need.CPU = 0
	}
	if !w.used.Add(need).Fits(w.entry.Capacity) {
		return false
	}
	return g.step.Spread == 0 || g.onWorker(w) < g.step.Spread
}

// leftover is the processor time that fillers may still use, as far as is known.
func (w *worker) leftover() oleanderline.Millicores {
	busy := w.used.CPU - oleanderline.Millicores(float64(w.serving)*(1-servingLoad))
	return (w.entry.Capacity.CPU-busy)*oleanderline.Millicores(w.pace.percent)/paceFull - w.filling
}

// Weights of what makes a worker better for a task, beside its share of free processors. Lasting tasks are packed: workers
// without any disturb nobody, and have room for large tasks. At least half of a step runs elsewhere (scoreReplicas), so that
// its tails can be compared and one worker's loss ends half of it at most.
const (
	scoreRack     = 2.0
	scoreHarm     = 1.0
	scoreImage    = 2.0
	scoreReplicas = 3.0
	emptyShare    = 0.5
)

func (p *Planner) score(w *worker, t *task) float64 {
	capacity := max(1, float64(w.entry.Capacity.CPU))
	step := t.group.step
	score := float64(w.free().CPU) / capacity
	switch {
	case step.Filler:
		score = float64(w.leftover())/capacity - scoreHarm*p.harm(w, t)
	case step.Lasting:
		score = scoreImage*w.imageShare(imageOf(t)) - score
		if 2*t.group.onWorker(w) >= step.Count {
			score -= scoreReplicas
		}
	}
	if step.Rack != "" && step.Rack == w.entry.Rack {
		score += scoreRack
	}
	if step.SameRack && t.group.usesRack(w.entry.Rack) {
		score += scoreRack
	}
	return score
}

// imageShare returns the share of a worker's lasting tasks that run an image, and a half if it has none. Lasting tasks of
// the same image are disturbed by the same fillers, so keeping them together leaves more workers for each filler.
func (w *worker) imageShare(image pairs.Image) float64 {
	all := 0
	for _, count := range w.lasting {
		all += count
	}
	if all == 0 {
		return emptyShare
	}
	return float64(w.lasting[image]) / float64(all)
}

func (g *group) usesRack(rack oleanderline.RackID) bool {
	for i := range g.tasks {
		if w := g.tasks[i].worker; w != nil && w.entry.Rack == rack {
			return true
		}
	}
	return false
}

func (p *Planner) start(t *task, w *worker, run int, now time.Time) {
	p.unready(t)
	t.state, t.run, t.began, t.moved, t.since = taskStarting, run, now, now, time.Time{}
	t.pace = paceFull
	t.unseen = false
	if t.group.step.Filler && p.disturbs(w, t) {
		p.tried[imageOf(t)] = now
	}
	if t.group.step.TailTarget > 0 {
		w.cleared = false
	}
	p.charge(t, w)
	value, _ := t.group.ticketFor(w, now)
	p.orders = append(p.orders, Order{
		Kind: OrderStart, Worker: w.entry.ID, Life: w.life, Key: t.runKey(),
		Payload: t.group.job.spec.Payload, Checkpoint: t.saved, Ticket: value,
	})
	p.note(NoteStart, t.runKey(), w, t.startReason(w, now))
}

// startReason gives the figures that decided a start: how long the task was ready, how long its job is on its way of its
// objective, and how much of the worker was free.
func (t *task) startReason(w *worker, now time.Time) string {
	j := t.group.job
	return "ready for " + now.Sub(t.queued).Round(time.Millisecond).String() +
		", job at " + now.Sub(j.arrived).Round(time.Millisecond).String() + " of " + j.objective().Round(time.Millisecond).String() +
		", worker has " + strconv.FormatInt(int64(w.free().CPU), 10) + "m left"
}
