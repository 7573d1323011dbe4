package queue_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/queue"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// The simulation models one shard of the deployment at Casa Viñoly. Passes are as frequent as the daemon's ticks if each tick
// makes one append.
const (
	simWorkers     = 50
	coresPerWorker = 16
	passInterval   = 100 * time.Millisecond
)

var simStart = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// simTask is one task of a simulated workload.
type simTask struct {
	At        time.Duration `json:"at"`
	Class     string        `json:"class"`
	Cores     int64         `json:"cores"`
	Run       time.Duration `json:"run"`
	startedAt time.Duration
	started   bool
}

// taskEnd is the event that a running task ends.
type taskEnd struct {
	at     time.Duration
	worker int
	task   *simTask
}

type endHeap []taskEnd

func (e endHeap) Len() int           { return len(e) }
func (e endHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *endHeap) Push(x any) { *e = append(*e, x.(taskEnd)) }

// Pop implements heap.Interface.
func (e *endHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation runs a workload in virtual time. It places tasks on workers by first fit.
type simulation struct {
	freeCores   [simWorkers]int64
	running     endHeap
	longCores   int64
	coreSeconds float64 // used within the horizon
	horizon     time.Duration
	now         time.Duration
}

func (s *simulation) start(task *simTask) bool {
	for i, free := range s.freeCores {
		if free >= task.Cores {
			s.freeCores[i] -= task.Cores
			task.startedAt, task.started = s.now, true
			heap.Push(&s.running, taskEnd{s.now + task.Run, i, task})
			s.coreSeconds += float64(task.Cores) * min(task.Run, s.horizon-s.now).Seconds()
			return true
		}
	}
	return false
}

func (s *simulation) finish(done func(*simTask)) {
	for len(s.running) > 0 && s.running[0].at <= s.now {
		if e, ok := heap.Pop(&s.running).(taskEnd); ok {
			s.freeCores[e.worker] += e.task.Cores
			done(e.task)
		}
	}
}

// runFIFO runs the baseline: work-conserving first fit in order of arrival.
func runFIFO(load []*simTask, horizon time.Duration) *simulation {
	sim := newSimulation(horizon)
	var waiting []*simTask
	for next := 0; sim.now < horizon; sim.now += passInterval {
		sim.finish(func(*simTask) {})
		for ; next < len(load) && load[next].At <= sim.now; next++ {
			waiting = append(waiting, load[next])
		}
		noRoom := map[int64]bool{}
		waiting = slices.DeleteFunc(waiting, func(task *simTask) bool {
			if noRoom[task.Cores] {
				return false
			}
			noRoom[task.Cores] = !sim.start(task)
			return !noRoom[task.Cores]
		})
	}
	return sim
}

func newSimulation(horizon time.Duration) *simulation {
	sim := &simulation{horizon: horizon}
	for i := range sim.freeCores {
		sim.freeCores[i] = coresPerWorker
	}
	return sim
}

func shapeOf(task *simTask) queue.Shape {
	return queue.Shape{
		ClassKey: queue.ClassKey{Team: "routes", Class: task.Class}, Kind: oleanderline.KindBatch,
		Size: oleanderline.Size{CPU: oleanderline.Millicores(task.Cores * 1000), Memory: 1},
	}
}

func runQueue(load []*simTask, horizon time.Duration, settings queue.Settings, set *rules.Set) *simulation {
	sim := newSimulation(horizon)
	classes := queue.NewClasses()
	q := queue.New[*simTask](settings, classes)
	q.SetRules(set)
	long := map[*simTask]bool{}
	for next := 0; sim.now < horizon; sim.now += passInterval {
		now := simStart.Add(sim.now)
		sim.finish(func(task *simTask) {
			if long[task] {
				sim.longCores -= task.Cores
			}
			classes.Observe(shapeOf(task).ClassKey, task.Run)
			q.UpdateClass(shapeOf(task).ClassKey)
		})
		for ; next < len(load) && load[next].At <= sim.now; next++ {
			since := simStart.Add(load[next].At)
			q.Push(load[next], shapeOf(load[next]), since, time.Time{}, now)
		}
		shardLoad := queue.Load{Capacity: simWorkers * coresPerWorker * 1000, Long: oleanderline.Millicores(sim.longCores * 1000)}
		q.Each(now, shardLoad, func(task *simTask, _ bool) queue.Verdict {
			if !sim.start(task) {
				return queue.NoRoom
			}
			if long[task] = !q.Short(shapeOf(task)); long[task] {
				sim.longCores += task.Cores
			}
			return queue.Placed
		})
	}
	return sim
}

// mixedLoad returns short tasks of about 5 s that request about 6% of the CPUs and, if withLong is set, long tasks of about 20
// minutes that request more than the capacity.
func mixedLoad(seed uint64, horizon time.Duration, withLong bool) []*simTask {
	rng := rand.New(rand.NewPCG(seed, 1))
	var load []*simTask
	addArrivals := func(class string, from, gap, run time.Duration, cores func() int64) {
		for at := from; at < horizon; at += time.Duration(rng.ExpFloat64() * float64(gap)) {
			ran := time.Duration(float64(run) * math.Exp(rng.NormFloat64()/2))
			load = append(load, &simTask{At: at, Class: class, Cores: cores(), Run: ran})
		}
	}
	addArrivals("credit", 0, 100*time.Millisecond, 5*time.Second, func() int64 { return 1 })
	if withLong {
		addArrivals("route", 0, 4*time.Second, 20*time.Minute, func() int64 { return 1 + rng.Int64N(4) })
	}
	slices.SortStableFunc(load, func(a, b *simTask) int { return int(a.At - b.At) })
	return load
}

// medianWait returns the median wait of the tasks of a class that arrive at or after from. Tasks that never started count as
// waiting until the horizon.
func medianWait(load []*simTask, class string, from, horizon time.Duration) time.Duration {
	var waits []time.Duration
	for _, task := range load {
		if task.Class != class || task.At < from {
			continue
		}
		wait := horizon - task.At
		if task.started {
			wait = task.startedAt - task.At
		}
		waits = append(waits, wait)
	}
	slices.Sort(waits)
	return waits[len(waits)/2]
}
