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

// The machine is one shard of Casa Viñoly's workers. Passes are as frequent as ticks of the daemon with one append each.
const (
	machineWorkers = 50
	machineCores   = 16
	passEvery      = 100 * time.Millisecond
)

var machineStart = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// work is one task of a workload.
type work struct {
	At    time.Duration `json:"at"`
	Class string        `json:"class"`
	Cores int64         `json:"cores"`
	Run   time.Duration `json:"run"`
	begin time.Duration
	begun bool
}

// end is the end of a running task.
type end struct {
	at     time.Duration
	worker int
	task   *work
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *ends) Push(x any) { *e = append(*e, x.(end)) }

// Pop implements heap.Interface.
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// machine runs a workload on a virtual clock, with first fit at the workers.
type machine struct {
	free    [machineWorkers]int64
	running ends
	long    int64
	used    float64 // core-seconds within the horizon
	horizon time.Duration
	now     time.Duration
}

func (m *machine) start(w *work) bool {
	for i, free := range m.free {
		if free >= w.Cores {
			m.free[i] -= w.Cores
			w.begin, w.begun = m.now, true
			heap.Push(&m.running, end{m.now + w.Run, i, w})
			m.used += float64(w.Cores) * min(w.Run, m.horizon-m.now).Seconds()
			return true
		}
	}
	return false
}

func (m *machine) finish(done func(*work)) {
	for len(m.running) > 0 && m.running[0].at <= m.now {
		if e, ok := heap.Pop(&m.running).(end); ok {
			m.free[e.worker] += e.task.Cores
			done(e.task)
		}
	}
}

// runFIFO is the baseline: work-conserving first fit in order of arrival.
func runFIFO(load []*work, horizon time.Duration) *machine {
	m := newMachine(horizon)
	var waiting []*work
	for next := 0; m.now < horizon; m.now += passEvery {
		m.finish(func(*work) {})
		for ; next < len(load) && load[next].At <= m.now; next++ {
			waiting = append(waiting, load[next])
		}
		full := map[int64]bool{}
		waiting = slices.DeleteFunc(waiting, func(w *work) bool {
			if full[w.Cores] {
				return false
			}
			full[w.Cores] = !m.start(w)
			return !full[w.Cores]
		})
	}
	return m
}

func newMachine(horizon time.Duration) *machine {
	m := &machine{horizon: horizon}
	for i := range m.free {
		m.free[i] = machineCores
	}
	return m
}

func shapeOf(w *work) queue.Shape {
	return queue.Shape{
		ClassKey: queue.ClassKey{Team: "routes", Class: w.Class}, Kind: oleanderline.KindBatch,
		Size: oleanderline.Size{CPU: oleanderline.Millicores(w.Cores * 1000), Memory: 1},
	}
}

func runQueue(load []*work, horizon time.Duration, settings queue.Settings, set *rules.Set) *machine {
	m := newMachine(horizon)
	classes := queue.NewClasses()
	q := queue.New[*work](settings, classes)
	q.SetRules(set)
	long := map[*work]bool{}
	for next := 0; m.now < horizon; m.now += passEvery {
		now := machineStart.Add(m.now)
		m.finish(func(w *work) {
			if long[w] {
				m.long -= w.Cores
			}
			classes.Done(shapeOf(w).ClassKey, w.Run)
			q.Learned(shapeOf(w).ClassKey)
		})
		for ; next < len(load) && load[next].At <= m.now; next++ {
			since := machineStart.Add(load[next].At)
			q.Push(load[next], shapeOf(load[next]), since, time.Time{}, now)
		}
		held := queue.Load{Capacity: machineWorkers * machineCores * 1000, Long: oleanderline.Millicores(m.long * 1000)}
		q.Each(now, held, func(w *work, _ bool) queue.Verdict {
			if !m.start(w) {
				return queue.Misfit
			}
			if long[w] = !q.Short(shapeOf(w)); long[w] {
				m.long += w.Cores
			}
			return queue.Placed
		})
	}
	return m
}

// mixed returns short tasks of 5 s that ask for about 6% of the processors, and long ones of about 20 minutes that ask for
// more than there is.
func mixed(seed uint64, horizon time.Duration, withLong bool) []*work {
	rng := rand.New(rand.NewPCG(seed, 1))
	var load []*work
	arrive := func(class string, from, gap, run time.Duration, cores func() int64) {
		for at := from; at < horizon; at += time.Duration(rng.ExpFloat64() * float64(gap)) {
			ran := time.Duration(float64(run) * math.Exp(rng.NormFloat64()/2))
			load = append(load, &work{At: at, Class: class, Cores: cores(), Run: ran})
		}
	}
	arrive("credit", 0, 100*time.Millisecond, 5*time.Second, func() int64 { return 1 })
	if withLong {
		arrive("route", 0, 4*time.Second, 20*time.Minute, func() int64 { return 1 + rng.Int64N(4) })
	}
	slices.SortStableFunc(load, func(a, b *work) int { return int(a.At - b.At) })
	return load
}

// medianWait returns the median wait of a class from a time on. Tasks that never began count as waiting to the end.
func medianWait(load []*work, class string, from, horizon time.Duration) time.Duration {
	var waits []time.Duration
	for _, w := range load {
		if w.Class != class || w.At < from {
			continue
		}
		wait := horizon - w.At
		if w.begun {
			wait = w.begin - w.At
		}
		waits = append(waits, wait)
	}
	slices.Sort(waits)
	return waits[len(waits)/2]
}
