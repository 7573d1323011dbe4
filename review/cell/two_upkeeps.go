//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	instances    = 4 // tasks of the step that lasts, one on each machine
	mayMiss      = 1
	waveMaxDown  = 1
	waveDuration = 30 * time.Second
)

// runTwoUpkeeps: a step that lasts has one task on each machine, and may miss one of them. A wave asks for the upkeep of all machines,
// one at a time. The rule AVAIL allows the next upkeep only once the task of the one before is at work again.
func runTwoUpkeeps(c *cell, trouble bool) error {
	watch := &availability{cell: c, away: map[string]absence{}}
	c.watch = watch
	var names []string
	for i := range instances {
		m, err := c.cloud.addMachine("a", fmt.Sprintf("r1-%d", 1+i/2))
		if err != nil {
			return err
		}
		names = append(names, m.name)
	}
	if err := c.start(); err != nil {
		return err
	}
	if err := c.submit(job{ID: jobID(1), Spec: "standing", Steps: []step{{
		Count: instances, CPU: 2000, Memory: 4000, EstimateMS: 1000, AntiAffinity: 1, LongRunning: true, MayMiss: mayMiss,
	}}}); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	if n := watch.atWorkCount(); n != instances {
		return fmt.Errorf("%d of %d tasks are at work before the wave", n, instances)
	}
	if trouble {
		c.cloud.request(1, names, waveDuration, waveMaxDown)
	}
	time.Sleep(waveDuration + 5*time.Second)
	c.journal.note("%d machines have had their upkeep", c.cloud.maintained(1))
	if trouble && c.cloud.maintained(1) == 0 {
		return fmt.Errorf("no upkeep has begun")
	}
	return nil
}

// absence is why and since when a task is not at work.
type absence struct {
	since   time.Time
	byOrder bool // a stop or an upkeep has ended it
}

// availability checks the rule AVAIL for one step that lasts.
type availability struct {
	cell *cell

	mu      sync.Mutex
	working map[string]bool
	away    map[string]absence
}

func (a *availability) began(*minion, *life, string, *run) {}

func (a *availability) atWork(m *minion, task string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.working == nil {
		a.working = map[string]bool{}
	}
	a.working[task] = true
	delete(a.away, task)
	a.cell.journal.note("%s: %s is at work", m.id, task)
}

// ended checks the end of a task: if it was at work and an order has ended it, fewer than mayMiss others may be away.
func (a *availability) ended(m *minion, task, how string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	wasAtWork := a.working[task]
	byOrder := how == "upkeep" || how == "stopped"
	if wasAtWork && byOrder {
		var others []string
		for other, absent := range a.away {
			if other != task && (absent.byOrder || time.Since(absent.since) >= noticeTime) {
				others = append(others, other)
			}
		}
		if len(others) >= mayMiss {
			a.cell.journal.breach("AVAIL: the order %q on %s ends %s, which is at work, while %v are away; its step may miss %d",
				how, m.machine, task, others, mayMiss)
		}
	}
	delete(a.working, task)
	if known, ok := a.away[task]; !ok || !known.byOrder {
		a.away[task] = absence{since: time.Now(), byOrder: byOrder}
	}
}

func (a *availability) atWorkCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.working)
}
