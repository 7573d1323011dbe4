//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	kindMachines  = 8
	restarts      = 11
	downTime      = 1500 * time.Millisecond
	restartPeriod = 6 * time.Second
	taskTime      = 900 * time.Millisecond
	jobWidth      = 36
)

// runOtherKind: half of the minions are of kind a, half of kind b. Jobs require the one or the other, and always wait for room. One minion
// at a time crashes and begins another life of the other kind, with its id and at its address.
func runOtherKind(c *cell, trouble bool) error {
	c.watch = kinds{c}
	for i := range kindMachines {
		if _, err := c.cloud.addMachine([]string{"a", "b"}[i%2], fmt.Sprintf("r1-%d", 1+i/4)); err != nil {
			return err
		}
	}
	if err := c.start(); err != nil {
		return err
	}
	stop := make(chan struct{})
	failed := make(chan error, 1)
	go func() { failed <- c.submitKinds(stop) }()
	time.Sleep(4 * time.Second)
	for i := range restarts {
		m := c.cloud.machines[i%kindMachines]
		if trouble {
			m.minion.crash()
		}
		time.Sleep(downTime)
		if trouble {
			m.kind = map[string]string{"a": "b", "b": "a"}[m.kind]
			c.journal.note("%s begins another life, of kind %s", m.minion.id, m.kind)
			if err := m.minion.restart(m.kind); err != nil {
				return err
			}
		}
		time.Sleep(restartPeriod - downTime)
	}
	close(stop)
	return <-failed
}

// submitKinds hands in jobs for both kinds until stop is closed, so that tasks of both always wait.
func (c *cell) submitKinds(stop <-chan struct{}) error {
	for number := 1; ; number += 2 {
		for i, kind := range []string{"a", "b"} {
			if err := c.submit(job{ID: jobID(number + i), Spec: "work for kind " + kind, Steps: []step{{
				Count: jobWidth, CPU: 2000, Memory: 4000, EstimateMS: int(taskTime.Milliseconds()), Requirements: kind,
			}}}); err != nil {
				return err
			}
		}
		select {
		case <-stop:
			return nil
		case <-time.After(4 * time.Second):
		}
	}
}

// kinds checks that each start is on a minion with the label that its step requires.
type kinds struct{ cell *cell }

func (k kinds) began(m *minion, l *life, task string, r *run) {
	if r.step.Requirements != "" && r.step.Requirements != l.kind {
		k.cell.journal.breach("ROUTE: %s run %d, which requires the label %s, begins on %s, a minion of kind %s for %s",
			task, r.number, r.step.Requirements, m.id, l.kind, time.Since(l.born).Round(time.Millisecond))
	}
}
func (kinds) atWork(*minion, string)        {}
func (kinds) ended(*minion, string, string) {}
