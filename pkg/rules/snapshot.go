package rules

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// Snapshot is what one process knows about the rules, in the form in which peers and operators ask for it.
type Snapshot struct {
	Revision  oleanderline.Revision // 0: none known
	ID        string
	By        string
	Published time.Time
	Text      string
	Origin    oleanderline.Revision // the revision that Revision repeats without a change, or Revision itself
	Edits     int                   // entries since the last one that holds its text, this one included
	Next      oleanderline.Offset   // the offset up to which the stream was read
	Settled   bool                  // no entries lost to retention hide which revision was accepted last
}

// Set returns the parsed rules.
func (s Snapshot) Set() *Set {
	set, _ := Parse(s.Text)
	set.Revision = s.Revision
	set.By = s.By
	set.Published = s.Published
	return set
}
