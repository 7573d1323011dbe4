package rules

import (
	"context"
	"time"

	"github.com/oleanderline/oleanderline"
)

// FollowerOption changes a Follower while it is built.
type FollowerOption func(*Follower)

// WithPoll sets the time between reads of the stream.
func WithPoll(poll time.Duration) FollowerOption {
	return func(f *Follower) { f.poll = poll }
}

// WithPeers sets the function that asks the peers for their rules. It is called while the log service cannot be read or
// entries were lost to retention. It must return soon after its context ends; a peer that does not answer is left out.
func WithPeers(peers func(context.Context) []Snapshot) FollowerOption {
	return func(f *Follower) { f.peers = peers }
}

// WithOnChange sets a function that is called with each new revision, in order, from the goroutine of Run.
func WithOnChange(onChange func(*Set)) FollowerOption {
	return func(f *Follower) { f.onChange = onChange }
}

// WithKeep makes the follower append the revision in force again, as a new revision with the same text, when every has
// passed since it was published. A quarter of the retention period is right: the stream then always holds two such
// entries, the second of which proves to a process without peers that the first was accepted. The name by stands in the
// entry.
func WithKeep(every time.Duration, by string) FollowerOption {
	return func(f *Follower) {
		f.keepEvery = every
		f.keepBy = by
	}
}

// withObserver sets a function that sees every entry and its verdict.
func withObserver(observe func(Entry, oleanderline.Offset, bool)) FollowerOption {
	return func(f *Follower) { f.observe = observe }
}
