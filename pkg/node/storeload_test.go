package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/cellfake"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/record"
)

const (
	// fastAppend is how long the store takes for an append when it is not slow.
	fastAppend = 2 * time.Millisecond
	// fastTime is how long submissions come before the store becomes slow.
	fastTime = 2 * time.Second
	// warmUp is how long the store has been slow before submissions are counted.
	warmUp = 3 * time.Second
	// countedTime is how long submissions are counted.
	countedTime = 10 * time.Second
	// callerDeadline is how long a caller waits for an answer.
	callerDeadline = 3 * time.Second
)

// Phases of a load.
const (
	phaseFast = iota
	phaseWarmUp
	phaseCounted
)

// storeLoad is what a cell with a number of nodes is given: one submission a second and node, while the store takes slowdown times
// fastAppend for each append.
type storeLoad struct{ nodes, slowdown int }

// storeResult counts the answers to the submissions of a storeLoad.
type storeResult struct {
	mu                           sync.Mutex
	answers                      map[oleanderline.JobID]error
	accepted, refused, uncertain int
	times                        []time.Duration // until the answer, of accepted submissions
	refusalTimes                 []time.Duration
	appends                      float64  // a second, those of the leader included
	leaders                      int      // terms that began after the warm-up
	falseAnswers                 []string // accepted jobs that are not stored, and refused ones that are
}

func (r *storeResult) add(id oleanderline.JobID, err error, took time.Duration, counted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[id] = err
	if !counted {
		return
	}
	switch {
	case err == nil:
		r.accepted++
		r.times = append(r.times, took)
	case errors.Is(err, oleanderline.ErrUncertain):
		r.uncertain++
	default:
		r.refused++
		r.refusalTimes = append(r.refusalTimes, took)
	}
}

// checkAnswers compares all answers with what is stored.
func (r *storeResult) checkAnswers(c *testCell) {
	stored := map[oleanderline.JobID]bool{}
	batch, err := c.store.Read(context.Background(), record.Stream, 0, 0)
	require.NoError(c.t, err)
	for _, rec := range batch.Records {
		if kind, id := record.ParseKey(rec.Key); kind == record.KindJob {
			stored[oleanderline.JobID(id)] = true
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, err := range r.answers {
		if !errors.Is(err, oleanderline.ErrUncertain) && stored[id] != (err == nil) {
			r.falseAnswers = append(r.falseAnswers, fmt.Sprintf("%s: stored %v, answer %v", id, stored[id], err))
		}
	}
}

// quantile returns a quantile of durations, rounded to milliseconds.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(int(q*float64(len(times))), len(times)-1)].Round(time.Millisecond)
}

// playStoreLoad plays a load in a cell of its own.
func playStoreLoad(t *testing.T, load storeLoad, commons []*common.Common, options ...func(*testCell)) *storeResult {
	result := &storeResult{answers: map[oleanderline.JobID]error{}}
	synctest.Test(t, func(t *testing.T) {
		var queue *cellfake.AppendQueue
		onQueue := func(c *testCell) {
			queue = cellfake.NewAppendQueue(c.store, record.Stream)
			queue.SetAnswerTime(fastAppend)
			c.log = queue
		}
		c := newTestCell(t, 0, commons, append(options, onQueue)...)
		defer queue.Wait()
		defer c.close()
		time.Sleep(4 * time.Second) // until there is a leader
		c.submitFor(result, load, phaseFast, fastTime)
		queue.SetAnswerTime(time.Duration(load.slowdown) * fastAppend)
		c.submitFor(result, load, phaseWarmUp, warmUp)
		before, _ := queue.Appends()
		terms := c.terms()
		c.submitFor(result, load, phaseCounted, countedTime)
		after, _ := queue.Appends()
		result.appends = float64(after-before) / countedTime.Seconds()
		result.leaders = c.terms() - terms
		time.Sleep(2 * callerDeadline) // until all callers have an answer, and the log has carried out what waited
		result.checkAnswers(c)
	})
	return result
}

// terms returns how often a process has become the leader.
func (c *testCell) terms() int {
	return int(c.store.End(record.StreamClaims))
}

// submitFor submits the jobs of a load for a time, from callers of all nodes in turn.
func (c *testCell) submitFor(result *storeResult, load storeLoad, phase int, duration time.Duration) {
	interval := time.Second / time.Duration(load.nodes)
	for i := range int(duration / interval) {
		job := oleanderline.Job{
			ID: oleanderline.JobID(fmt.Sprintf("%08x%08x", phase, i)), Queue: testQueue.ID, Policy: testQueue, Payload: fmt.Sprint(i),
			Steps: []oleanderline.Step{{Count: 1, Size: oleanderline.Size{CPU: 1, Memory: 1}, Estimate: time.Second}},
		}
		c.checker.Submitted(job)
		n := c.process(i * 7 % load.nodes).node
		c.wg.Go(func() {
			ctx, cancel := context.WithTimeout(c.ctx, callerDeadline)
			defer cancel()
			begun := time.Now()
			err := n.Submit(ctx, job)
			result.add(job.ID, err, time.Since(begun), phase == phaseCounted)
			if err == nil {
				c.checker.Accepted(job.ID)
			}
		})
		time.Sleep(interval)
	}
}

// TestStoreLoads prints the table of docs/measurements/group-commit.md if OLEANDER_TABLE is set.
func TestStoreLoads(t *testing.T) {
	if os.Getenv("OLEANDER_TABLE") == "" {
		t.Skip("set OLEANDER_TABLE=1 to print the table")
	}
	for _, nodes := range []int{6, 43, 100} {
		for _, slowdown := range []int{1, 10, 60, 100} {
			load := storeLoad{nodes, slowdown}
			commons := newCommonsOn(slices.Repeat([]oleanderline.Clock{common.NewSystemClock()}, nodes))
			r := playStoreLoad(t, load, commons)
			total := cmp.Or(r.accepted+r.refused+r.uncertain, 1)
			require.Positive(t, total)
			require.Empty(t, r.falseAnswers)
			fmt.Printf("| %d | %d | %.1f | %d | %d | %d | %v, %v | %v | %d |\n", nodes, slowdown, r.appends, r.accepted, r.refused, r.uncertain,
				quantile(r.times, 0.5), quantile(r.times, 0.95), quantile(r.refusalTimes, 0.95), r.leaders)
		}
	}
}
