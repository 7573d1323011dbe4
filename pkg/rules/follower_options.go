package rules

import (
	"context"
	"time"

	"github.com/oleanderline/oleanderline"
)

// FollowerOption configures a Follower.
type FollowerOption func(*Follower)

// WithPoll sets the time between reads of the stream.
func WithPoll(poll time.Duration) FollowerOption {
	return func(f *Follower) { f.poll = poll }
}

// WithPeers sets the function that queries the peers for their snapshots. It is called at the start, while the log
// service cannot be read, and while entries lost to retention leave the newest revision unknown. It must return soon after
// its context ends, and leaves out peers that do not answer.
func WithPeers(peers func(context.Context) []Snapshot) FollowerOption {
	return func(f *Follower) { f.peers = peers }
}

// WithOnChange sets a function that is called with each new revision, in order, from the goroutine of Run.
func WithOnChange(onChange func(*Set)) FollowerOption {
	return func(f *Follower) { f.onChange = onChange }
}

// WithRepublish makes the follower republish the revision in force, as a new revision with the same text, when the interval
// every has passed since it was published, so that retention does not remove the last copy. A quarter of the retention
// period is suitable: the stream then always holds two such entries, and the second proves to a process without peers
// that the first was accepted. by identifies the follower in the ids of the entries.
func WithRepublish(every time.Duration, by string) FollowerOption {
	return func(f *Follower) {
		f.republishInterval = every
		f.republishBy = by
	}
}

// withObserver sets a function that is called with every decoded entry, its offset and whether it was accepted.
func withObserver(observe func(Entry, oleanderline.Offset, bool)) FollowerOption {
	return func(f *Follower) { f.observe = observe }
}
