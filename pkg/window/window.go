// Package window bounds the starts that a leader has under way by how fast they are answered. It answers a backlog, such as
// after the loss of all processes, that a leader on a small VM would send to its workers at once: the starts would then hold up
// the renewals of leases behind them.
package window

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

const (
	initial = 64.0 // starts
	least   = 8.0
	most    = 1024.0
	// fast is an answer that lets the window grow, slow one that makes it shrink.
	fast = 150 * time.Millisecond
	slow = 300 * time.Millisecond
	// shrink is applied at most once in each time of slow, so that one late batch counts once.
	shrink = 0.7
	// unanswered is when a start stops counting as under way: its worker is late then, which holds up nothing else.
	unanswered = 400 * time.Millisecond
)

// Window counts starts. It is not safe for concurrent use.
type Window struct {
	size   float64
	shrunk time.Time
	sent   map[oleanderline.RunKey]time.Time
}

// New returns a window that is neither small nor large.
func New() *Window { return &Window{size: initial, sent: map[oleanderline.RunKey]time.Time{}} }

// Room returns how many more starts may be sent.
func (w *Window) Room(now time.Time) int {
	open := 0
	for _, sent := range w.sent {
		if now.Sub(sent) < unanswered {
			open++
		}
	}
	return max(0, int(w.size)-open)
}

// Sent tells that a start was sent.
func (w *Window) Sent(run oleanderline.RunKey, now time.Time) { w.sent[run] = now }

// Answered tells that a worker has carried out a start.
func (w *Window) Answered(run oleanderline.RunKey, now time.Time) {
	sent, known := w.sent[run]
	if !known {
		return
	}
	full := float64(len(w.sent)) >= w.size/2
	delete(w.sent, run)
	switch took := now.Sub(sent); {
	case took >= slow:
		w.narrow(now)
	case took < fast && full:
		w.size = min(most, w.size+1)
	}
}

// Expired tells that a start was given up before it was sent, as its turn came too late.
func (w *Window) Expired(run oleanderline.RunKey, now time.Time) {
	delete(w.sent, run)
	w.narrow(now)
}

// Failed tells that a start has failed for reasons of its worker, which say nothing about the speed of the leader.
func (w *Window) Failed(run oleanderline.RunKey) { delete(w.sent, run) }

func (w *Window) narrow(now time.Time) {
	if now.Sub(w.shrunk) >= slow {
		w.shrunk = now
		w.size = max(least, w.size*shrink)
	}
}
