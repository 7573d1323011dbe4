//go:build review

// Command cell runs one case of the review: it starts the project's nodes as processes, with stand-ins for the platform, the
// minions and the clients on loopback addresses, and checks one rule.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With TROUBLE=0 in the environment, it
// does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that hangs.
const caseTimeout = 115 * time.Second

// cases are the cases by name. Each returns an error if it could not run; the breaches of its rule are in the journal of the cell.
var cases = map[string]func(c *cell, trouble bool) error{
	"two-upkeeps":      runTwoUpkeeps,
	"late-upkeep":      runLateUpkeep,
	"other-kind":       runOtherKind,
	"cancelled-beside": runCancelledBeside,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cell CASE RECORD")
		return exitNotRun
	}
	journal, err := newJournal(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	c, err := newCell(journal)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.close()
	result := make(chan error, 1)
	go func() { result <- cases[os.Args[1]](c, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-result:
	case <-time.After(caseTimeout):
		err = fmt.Errorf("the case has not ended within %s", caseTimeout)
	}
	if exit := c.unexpectedExit(); err == nil && exit != "" {
		err = fmt.Errorf("a node has ended by itself: %s", exit)
	}
	return journal.verdict(err)
}
