//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// journal writes what was sent, answered and run to the record of a case, and counts the breaches of its rule.
type journal struct {
	began time.Time

	mu       sync.Mutex
	file     *os.File
	breaches []string
}

func newJournal(path string) (*journal, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &journal{began: time.Now(), file: file}, nil
}

// note writes a line with the time since the beginning of the case.
func (j *journal) note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.write(format, args...)
}

func (j *journal) write(format string, args ...any) {
	_, _ = fmt.Fprintf(j.file, "%8.3f  %s\n", time.Since(j.began).Seconds(), fmt.Sprintf(format, args...))
}

// breach records a breach of the rule.
func (j *journal) breach(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	j.breaches = append(j.breaches, text)
	j.write("BROKEN  %s", text)
}

// verdict writes the result of the case and returns the exit status. A breach counts even if the case did not end.
func (j *journal) verdict(err error) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case len(j.breaches) > 0:
		j.write("result: the rule was broken %d times; first: %s", len(j.breaches), j.breaches[0])
		fmt.Printf("broken: %s\n", j.breaches[0])
		return exitBroken
	case err != nil:
		j.write("result: the case could not run: %v", err)
		fmt.Printf("not run: %v\n", err)
		return exitNotRun
	}
	j.write("result: the rule held")
	fmt.Println("held")
	return exitHeld
}
