package rules

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// FollowerStatus shows operators how current the rules of a process are.
type FollowerStatus struct {
	Revision oleanderline.Revision
	By       string
	// Published is the time of publishing by the publisher's clock.
	Published time.Time
	// Age is the time since the log service last confirmed that no newer revision exists; negative if it never did.
	Age time.Duration
	// LogDown means that the last read failed.
	LogDown bool
	// Settled is false if the newest revision is not known, because retention removed entries before they were read.
	Settled bool
	// FromPeer means that the revision in force was adopted from a peer and not read from the log service.
	FromPeer bool
	// Ignored lists the lines that are ignored because this version does not know them.
	Ignored []Unknown
}
