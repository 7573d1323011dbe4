package rules

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// Snapshot is a process's state of the rules, as sent to peers and operators.
type Snapshot struct {
	Revision  oleanderline.Revision // 0: none known
	ID        string
	By        string
	Published time.Time
	Text      string
	Origin    oleanderline.Revision // the revision that Revision republishes unchanged, or Revision itself
	Edits     int                   // number of revisions with edits since the last one with its full text, this one included
	Next      oleanderline.Offset   // the offset to read next
	Settled   bool                  // the newest revision is known: no entries lost to retention leave it open
}

// Set returns the parsed rules.
func (s Snapshot) Set() *Set {
	set, _ := Parse(s.Text)
	set.Revision = s.Revision
	set.By = s.By
	set.Published = s.Published
	return set
}
