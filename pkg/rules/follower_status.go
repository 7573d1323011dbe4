package rules

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// FollowerStatus tells operators how current the rules of a process are.
type FollowerStatus struct {
	Revision oleanderline.Revision
	By       string
	// Published is the publisher's time.
	Published time.Time
	// Age is the time since the log service last confirmed that no newer revision exists; negative if it never did.
	Age time.Duration
	// LogDown means that the last read failed.
	LogDown bool
	// Settled is false if entries lost to retention hide which revision was accepted last.
	Settled bool
	// FromPeer means that the revision in force came from a peer and not from the log service.
	FromPeer bool
	// Ignored lists the lines that this version does not know.
	Ignored []Unknown
}
