// Package plan decides which task of a job with steps starts on which worker, and when a run is stopped or paced. It is
// pure: it does no I/O, starts no goroutine and reads no clock.
package plan

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/pairs"
)

// runsPerClaim separates the run numbers of successive leaders: a leader numbers its runs above all of earlier leaders,
// whose last runs it may not know.
const runsPerClaim = 1000

// Settings of a Planner.
type Settings struct {
	// Settle is how long a new leader waits for the reports of workers before it starts anything.
	Settle time.Duration
	// Horizon is how long after the start of a term a run that an earlier leader has started may go on unseen, on a worker
	// that has not reported.
	Horizon time.Duration
	// Majority is how long an earlier leader gives orders after most workers have last accepted its calls, and Lease how
	// long a run goes on after the last order.
	Majority time.Duration
	Lease    time.Duration
}

// Planner holds the jobs, tasks and workers of one leader's term.
type Planner struct {
	settings     Settings
	began        time.Time
	now          time.Time // of the newest event
	runBase      int
	config       *oleanderline.CellConfig
	queues       map[oleanderline.QueueID]oleanderline.Queue
	jobs         map[oleanderline.JobID]*job
	workers      map[oleanderline.WorkerID]*worker
	open         map[*group]struct{}              // with tasks that are ready
	timed        map[*group]struct{}              // waiting for their due time
	dirty        map[*job]struct{}                // with progress that is not recorded
	awaiting     map[oleanderline.RunKey]sighting // runs of jobs that are not known yet
	pairs        *pairs.Learner
	levels       map[oleanderline.QueueID]*Level
	headroom     map[oleanderline.PoolID]*headroom
	consolidated time.Time                 // when moving lasting tasks together was considered last
	starvedAt    time.Time                 // when fillers were starved last
	checked      time.Time                 // when all running tasks were looked at last
	tried        map[pairs.Image]time.Time // when a filler was last started where it is suspected to disturb
	asking       bool                      // a question to the adviser is under way
	questions    []Question
	firsts       []time.Duration // from the arrival of a job to its first start
	orders       []Order
	notes        []Note
	majority     time.Time // when most workers had reported in this term
	fresh        bool      // nothing was ever started before this term
}

// New returns the planner of a term that begins now. claims counts the claims of leadership, this one included.
func New(settings Settings, claims int, now time.Time) *Planner {
	return &Planner{
		settings: settings,
		began:    now,
		now:      now,
		runBase:  (claims - 1) * runsPerClaim,
		fresh:    claims == 1,
		config:   &oleanderline.CellConfig{},
		queues:   map[oleanderline.QueueID]oleanderline.Queue{},
		jobs:     map[oleanderline.JobID]*job{},
		workers:  map[oleanderline.WorkerID]*worker{},
		open:     map[*group]struct{}{},
		timed:    map[*group]struct{}{},
		dirty:    map[*job]struct{}{},
		awaiting: map[oleanderline.RunKey]sighting{},
		pairs:    pairs.New(),
		levels:   map[oleanderline.QueueID]*Level{},
		headroom: map[oleanderline.PoolID]*headroom{},
		tried:    map[pairs.Image]time.Time{},
	}
}

// SetConfig takes over a version of the configuration.
func (p *Planner) SetConfig(config *oleanderline.CellConfig) {
	p.config = config
	queues := map[oleanderline.QueueID]oleanderline.Queue{}
	for _, queue := range config.Queues {
		queues[queue.ID] = queue
	}
	p.queues = queues
	for _, j := range p.jobs {
		if queue, ok := queues[j.spec.Queue]; ok {
			j.queue = queue
		}
	}
}

// Pairs returns what this planner has learned about pairs of images, and takes over what others have.
func (p *Planner) Pairs() *pairs.Learner { return p.pairs }

// Orders returns the orders decided since the last call.
func (p *Planner) Orders() []Order {
	orders := p.orders
	p.orders = nil
	return orders
}

// FirstStarts returns how long jobs have waited whose first task has started since the last call.
func (p *Planner) FirstStarts() []time.Duration {
	firsts := p.firsts
	p.firsts = nil
	return firsts
}

// Notes returns the decisions to log since the last call.
func (p *Planner) Notes() []Note {
	notes := p.notes
	p.notes = nil
	return notes
}

func (p *Planner) note(kind NoteKind, run oleanderline.RunKey, w *worker, reason string) {
	n := Note{Kind: kind, Run: run, Reason: reason}
	if w != nil {
		n.Worker = w.entry.ID
	}
	p.notes = append(p.notes, n)
}

// settled reports whether every worker on which an earlier leader may have started tasks has reported, or the time for
// that has passed.
func (p *Planner) settled(now time.Time) bool {
	return p.fresh || now.Sub(p.began) >= p.settings.Settle || p.allReported()
}

// allReported reports whether every worker on which any task may run unseen has reported.
func (p *Planner) allReported() bool {
	for _, w := range p.workers {
		if w.inherited && !w.limited && !w.reported {
			return false
		}
	}
	return true
}

// giveUpUnseen takes workers that have not reported for the whole horizon as empty.
func (p *Planner) giveUpUnseen(now time.Time) {
	if p.fresh || !p.lapsedUnseen(now) {
		return
	}
	for _, w := range p.workers {
		if w.inherited && !w.reported {
			p.note(NoteWorker, oleanderline.RunKey{}, w, "runs of earlier leaders have lapsed")
			w.reported, w.silent = true, true
		}
	}
}

// mayRunUnseen reports whether a task may run on a worker that has not reported in this term.
func (t *task) mayRunUnseen(anyMay bool) bool {
	if t.suspect != nil && !t.suspect.reported {
		return true
	}
	return anyMay && t.unseen
}

// unseenMayRun reports whether a task that no worker has reported may run on one that has not reported yet.
func (p *Planner) unseenMayRun(now time.Time) bool {
	return !p.fresh && !p.lapsedUnseen(now) && !p.allReported()
}

// lapsedUnseen reports whether every run that an earlier leader has started and that was not reported has lapsed: no leader
// gives orders beyond the horizon, nor for long after most workers have seen this term.
func (p *Planner) lapsedUnseen(now time.Time) bool {
	if now.Sub(p.began) >= p.settings.Horizon {
		return true
	}
	if p.majority.IsZero() && p.mostReported() {
		p.majority = now
	}
	return !p.majority.IsZero() && now.Sub(p.majority) >= p.settings.Majority+p.settings.Lease
}

func (p *Planner) mostReported() bool {
	reported, all := 0, 0
	for _, w := range p.workers {
		if w.inherited {
			all++
			if w.life != 0 {
				reported++
			}
		}
	}
	return 2*reported > all
}

// SupportedUntil returns until when most workers have lately answered calls, where an answer counts for the time of Majority
// from the sending of its call. Until then no later leader can have reached most of them. It is zero while there are none.
func (p *Planner) SupportedUntil() time.Time {
	asked := make([]time.Time, 0, len(p.workers))
	for _, w := range p.workers {
		if w.stored || w.listed {
			asked = append(asked, w.asked)
		}
	}
	if len(asked) == 0 {
		return time.Time{}
	}
	slices.SortFunc(asked, func(a, b time.Time) int { return b.Compare(a) })
	return asked[len(asked)/2].Add(p.settings.Majority)
}
