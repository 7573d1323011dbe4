// Package groupcommit decides through which node the records of a node reach the log, for a cell of many nodes whose log carries out
// the appends to a stream one at a time. While the log answers slowly, a queue of small appends of many nodes takes longer than callers
// wait; one node that appends the records of all of them needs one append in the same time.
package groupcommit

import (
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

// Policy decides for one node. It is safe for concurrent use.
type Policy struct {
	mu            sync.Mutex
	own           answerTime // of the appends of this node
	cell          answerTime // of the leader's appends, from its record
	open          map[int]time.Time
	nextID        int
	slowUntil     time.Time
	penalties     map[oleanderline.VMID]penalty
	random        func() float64 // from 0 to 1
	nextOwn       time.Time      // when this node may append a record that no appender has stored
	lost          int            // appends without an answer since the last one that was answered
	slowReadUntil time.Time      // until when the last slow read counts
	records       int            // read since countedSince
	countedSince  time.Time
	readBegun     time.Time // when the open read was sent; zero if there is none or its answer may wait for records
}

// New returns a policy that has observed nothing: the log counts as fast. random returns numbers from 0 to 1.
func New(random func() float64) *Policy {
	return &Policy{open: map[int]time.Time{}, penalties: map[oleanderline.VMID]penalty{}, random: random}
}

// Begin records that this node has sent an append. The returned function records its end.
func (p *Policy) Begin(now time.Time) (end func(result Result, now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := p.nextID
	p.nextID++
	p.open[id] = now
	return func(result Result, ended time.Time) {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.open, id)
		p.observe(result, ended.Sub(now), ended)
	}
}

// observe records the result of an append of this node.
func (p *Policy) observe(result Result, took time.Duration, now time.Time) {
	switch result {
	case Answered:
		p.own.observe(took, now)
		p.lost = 0
	case Lost:
		p.lost++
	}
	if result == Refused || took >= SlowAnswer {
		p.slowUntil = common.Later(p.slowUntil, now.Add(SlowHold))
	}
}

// BeginRead records that this node has sent a read of the records. quick says that the log holds records for it, as far as is known, so
// that a late answer is a sign of a slow log. The returned function records its end.
func (p *Policy) BeginRead(quick bool, now time.Time) (end func(now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if quick {
		p.readBegun = now
	}
	return func(ended time.Time) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.readBegun = time.Time{}
		if quick && ended.Sub(now) >= slowRead {
			p.slowUntil = common.Later(p.slowUntil, ended.Add(slowReadHold))
		}
	}
}

// ObserveRead records how long the log took for a read of any stream, beyond the time for which it was to wait for records.
func (p *Policy) ObserveRead(took time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if took >= SlowAnswer {
		p.slowReadUntil = now.Add(SlowHold)
		p.slowUntil = common.Later(p.slowUntil, p.slowReadUntil)
	}
}

// ObserveRecords records that this node has read a number of submissions and cancellations of the cell from the log.
func (p *Policy) ObserveRecords(count int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.records += count
	elapsed := now.Sub(p.countedSince)
	if elapsed < rateWindow {
		return
	}
	if float64(p.records) >= busyRate*min(elapsed, 2*rateWindow).Seconds() {
		p.slowUntil = common.Later(p.slowUntil, now.Add(SlowHold))
	}
	p.records, p.countedSince = 0, now
}

// ObserveCell records the answer time that the leader has measured.
func (p *Policy) ObserveCell(answer time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cell = answerTime{value: answer, at: now}
	if answer >= SlowAnswer {
		p.slowUntil = common.Later(p.slowUntil, now.Add(SlowHold))
	}
}

// ObserveHandOver records whether an appender has done its work, and how long that took. A refusal because of the time that is left counts
// as done, and as a sign of a slow log.
func (p *Policy) ObserveHandOver(vm oleanderline.VMID, result HandOver, took time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if result != HandOverStored || took >= slowRead {
		p.slowUntil = common.Later(p.slowUntil, now.Add(SlowHold))
	}
	if result != HandOverFailed {
		delete(p.penalties, vm)
		return
	}
	old := p.penalties[vm]
	if now.Before(old.until) {
		return // a call that was under way when the first one failed
	}
	length := min(max(2*old.length, minPenalty), maxPenalty)
	p.penalties[vm] = penalty{until: now.Add(length), length: length}
}
