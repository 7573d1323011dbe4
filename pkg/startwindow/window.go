// Package startwindow bounds how many starts a leader has outstanding, depending on how fast they are answered. Without the bound, a
// leader on a small VM would send a backlog to its workers at once, for example after the loss of all processes, and the starts
// would delay the lease renewals queued behind them. The size of the window follows additive increase, multiplicative decrease.
package startwindow

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

const (
	initialSize = 64.0 // starts
	minSize     = 8.0
	maxSize     = 1024.0
	// The window grows on answers faster than fastAnswer, and shrinks on answers that take slowAnswer or longer.
	fastAnswer = 150 * time.Millisecond
	slowAnswer = 300 * time.Millisecond
	// shrinkFactor is applied at most once per slowAnswer, so that one late batch of answers counts once.
	shrinkFactor = 0.7
	// answerTimeout is the age at which a start no longer counts as outstanding. Such a delay is due to its worker and does not
	// affect other calls.
	answerTimeout = 400 * time.Millisecond
)

// Window limits the number of outstanding starts. It is not safe for concurrent use.
type Window struct {
	size       float64
	lastShrink time.Time
	sent       map[oleanderline.RunKey]time.Time
}

// New returns a window of the initial size.
func New() *Window { return &Window{size: initialSize, sent: map[oleanderline.RunKey]time.Time{}} }

// Room returns how many more starts may be sent.
func (w *Window) Room(now time.Time) int {
	outstanding := 0
	for _, sent := range w.sent {
		if now.Sub(sent) < answerTimeout {
			outstanding++
		}
	}
	return max(0, int(w.size)-outstanding)
}

// Sent records that a start was sent.
func (w *Window) Sent(run oleanderline.RunKey, now time.Time) { w.sent[run] = now }

// Answered records that a worker has executed a start, and adapts the size of the window to the time that it took.
func (w *Window) Answered(run oleanderline.RunKey, now time.Time) {
	sent, known := w.sent[run]
	if !known {
		return
	}
	halfUsed := float64(len(w.sent)) >= w.size/2
	delete(w.sent, run)
	switch took := now.Sub(sent); {
	case took >= slowAnswer:
		w.shrink(now)
	case took < fastAnswer && halfUsed:
		w.size = min(maxSize, w.size+1)
	}
}

// Expired records that a start was dropped before it was sent because it was too old at its turn. It shrinks the window.
func (w *Window) Expired(run oleanderline.RunKey, now time.Time) {
	delete(w.sent, run)
	w.shrink(now)
}

// Failed records that a start has failed because of its worker. This says nothing about the speed of the leader, so the size of
// the window stays.
func (w *Window) Failed(run oleanderline.RunKey) { delete(w.sent, run) }

func (w *Window) shrink(now time.Time) {
	if now.Sub(w.lastShrink) >= slowAnswer {
		w.lastShrink = now
		w.size = max(minSize, w.size*shrinkFactor)
	}
}
