//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	besideMachines = 8
	// homeRack is the rack of one machine only, where the data of the task that lasts and of the jobs beside it is.
	homeRack  = "r1-1"
	otherRack = "r1-2"
	// Of all jobs, besideJobs run beside the task that lasts and are cancelled, one every cancelPeriod: a twentieth of the jobs, as the
	// site file has it for its ordinary traffic (cancel 0.05).
	besideJobs   = 4
	otherJobs    = 77
	cancelPeriod = 3 * time.Second
	// Of a task that lasts, the rule LOST counts 3 s without a run that are calm and follow 4 s of calm, from 6 s after its last run. Calm
	// begins contactMs (3 s) after the crash, so a gap counts from 3 s + 4 s + 3 s on, which is more than 6 s + 3 s.
	lostAfter = 3*time.Second + 4*time.Second + 3*time.Second
)

// runCancelledBeside: a job with a task that lasts and 81 jobs with one long task each run on a small pool of which less than half is in
// use, four of them beside the task that lasts. Their minion crashes for good. Then clients cancel these four, one every three seconds.
func runCancelledBeside(c *cell, trouble bool) error {
	watch := &lasting{cell: c, task: jobID(1) + ".0.0.0"}
	c.watch = watch
	for i := range besideMachines {
		if _, err := c.cloud.addMachine("a", fmt.Sprintf("r1-%d", 1+min(1, i))); err != nil {
			return err
		}
	}
	if err := c.start(); err != nil {
		return err
	}
	home, err := c.submitBeside(watch)
	if err != nil {
		return err
	}
	beside := c.jobsOn(home)
	c.journal.note("%s runs the task that lasts and tasks of %d jobs", home.id, len(beside))
	if len(beside) != besideJobs {
		return fmt.Errorf("%d jobs run beside the task that lasts, want %d", len(beside), besideJobs)
	}
	if trouble {
		home.leaveFor("crash for good")
	}
	crashed := time.Now()
	for _, id := range beside {
		time.Sleep(cancelPeriod)
		status, answer := c.request(c.nextNode(), http.MethodDelete, prefix+id, nil)
		c.journal.note("DELETE %s: %d %s", id, status, answer)
	}
	for time.Since(crashed) < time.Duration(len(beside))*cancelPeriod+20*time.Second && !watch.running() {
		time.Sleep(100 * time.Millisecond)
	}
	watch.check(crashed)
	return nil
}

// submitBeside hands in the jobs, and returns the minion with the task that lasts.
func (c *cell) submitBeside(watch *lasting) (*minion, error) {
	if err := c.submit(job{ID: jobID(1), Spec: "lasts", Steps: []step{{
		Count: 1, CPU: 500, Memory: 500, EstimateMS: 1000, LongRunning: true, Affinity: homeRack,
	}}}); err != nil {
		return nil, err
	}
	for i := range besideJobs + otherJobs {
		rack := otherRack
		if i < besideJobs {
			rack = homeRack
		}
		if err := c.submit(job{ID: jobID(2 + i), Spec: "long", Steps: []step{{
			Count: 1, CPU: 100, Memory: 100, EstimateMS: 100_000, Affinity: rack,
		}}}); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	if home := watch.home(); home != nil {
		return home, nil
	}
	return nil, fmt.Errorf("the task that lasts does not run")
}

// jobsOn returns the jobs with long tasks on a minion.
func (c *cell) jobsOn(m *minion) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for task := range m.life.runs {
		if id, _, _ := strings.Cut(task, "."); id != jobID(1) {
			ids = append(ids, id)
		}
	}
	return ids
}

// lasting follows the runs of one task that lasts.
type lasting struct {
	cell *cell
	task string

	mu      sync.Mutex
	on      *minion
	endedAt time.Time
	gap     time.Duration // the longest time without a run, after the first
}

func (l *lasting) began(m *minion, _ *life, task string, _ *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if task != l.task {
		return
	}
	l.on = m
	if !l.endedAt.IsZero() {
		l.gap = max(l.gap, time.Since(l.endedAt))
	}
}

func (l *lasting) atWork(*minion, string) {}

func (l *lasting) ended(_ *minion, task, _ string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if task == l.task {
		l.on, l.endedAt = nil, time.Now()
	}
}

func (l *lasting) home() *minion {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.on
}

func (l *lasting) running() bool { return l.home() != nil }

// check checks the rule LOST for the time since the crash.
func (l *lasting) check(crashed time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	gap := l.gap
	if l.on == nil {
		gap = time.Since(crashed)
	}
	l.cell.journal.note("the task that lasts was without a run for %s; runs now: %t", gap.Round(time.Millisecond), l.on != nil)
	if gap > lostAfter {
		l.cell.journal.breach("LOST: %s is to last and does not run for %s, with room for it", l.task, gap.Round(time.Millisecond))
	}
}
