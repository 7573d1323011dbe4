//go:build review

package main

import (
	"context"
	"net/http"
	"time"
)

const (
	lateMachines = 8
	lateWave     = 1
	// The first upkeep gets no answer and is carried out after lateDelay. Its machine crashes after crashDelay, for crashTime.
	lateDelay  = 2800 * time.Millisecond
	crashDelay = 500 * time.Millisecond
	crashTime  = 1800 * time.Millisecond
)

// runLateUpkeep: a wave asks for the upkeep of three machines, one at a time. The first call for the first machine gets no answer and is
// carried out 2.8 s later. The minion of that machine crashes in between and is back before that, so that the repeated call is refused
// because the machine is not up.
func runLateUpkeep(c *cell, trouble bool) error {
	c.watch = nobody{}
	for range lateMachines {
		if _, err := c.cloud.addMachine("a", "r1-1"); err != nil {
			return err
		}
	}
	first := true
	c.cloud.intercept = func(_ http.ResponseWriter, r *http.Request, call upkeep) bool {
		if !trouble || !first {
			return true
		}
		first = false
		c.journal.note("cloud: upkeep of %s from %s (fence %d): no answer, carried out %s later", call.Machine, call.holder, call.fence, lateDelay)
		go c.lateUpkeep(call)
		hang(r.Context())
		return false
	}
	if err := c.start(); err != nil {
		return err
	}
	c.cloud.request(lateWave, []string{"m1", "m2", "m3"}, 30*time.Second, 1)
	time.Sleep(30 * time.Second)
	c.journal.note("%d machines have had their upkeep", c.cloud.maintained(lateWave))
	return nil
}

// lateUpkeep crashes the machine of a call for a while, and then carries the call out.
func (c *cell) lateUpkeep(call upkeep) {
	c.cloud.mu.Lock()
	m := c.cloud.machine(call.Machine)
	c.cloud.mu.Unlock()
	time.AfterFunc(crashDelay, func() { c.cloud.setDown(m) })
	time.AfterFunc(crashDelay+crashTime, func() { c.cloud.setUp(m) })
	time.Sleep(lateDelay)
	status, message := c.cloud.carryOut(call)
	c.journal.note("cloud: the late upkeep of %s is carried out: %d %v", call.Machine, status, message)
}

// setDown crashes the minion of a machine.
func (c *cloud) setDown(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.state = "down"
	m.minion.crash()
}

// setUp starts the minion of a machine again.
func (c *cloud) setUp(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := m.minion.restart(m.kind); err != nil {
		c.cell.journal.note("cloud: no minion on %s: %v", m.name, err)
		return
	}
	m.state = "up"
	c.cell.journal.note("cloud: %s is up again", m.name)
}

// hang gives no answer until the caller gives up, and then closes the connection.
func hang(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(10 * time.Second):
	}
	panic(http.ErrAbortHandler)
}

// nobody ignores what happens on minions.
type nobody struct{}

func (nobody) began(*minion, *life, string, *run) {}
func (nobody) atWork(*minion, string)             {}
func (nobody) ended(*minion, string, string)      {}
