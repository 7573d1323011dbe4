package rules

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/oleanderline/oleanderline/pkg/common"
)

// republishRetry is the minimum time between two attempts to republish the same revision.
const republishRetry = 10 * time.Second

// republishTime returns when the revision is due to be republished. A jitter that differs between followers spreads them
// over a fifth of the interval, so that usually one of them appends and the others read its entry before their own time.
// If two append, one entry is refused, which does no harm.
func (f *Follower) republishTime(s Snapshot) time.Time {
	if f.republishInterval == 0 {
		return time.Time{}
	}
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s/%d", f.republishBy, s.Revision)
	jitter := f.republishInterval / 5 * time.Duration(h.Sum32()%1000) / 1000
	return s.Published.Add(f.republishInterval + jitter)
}

// republish appends the revision in force as a new entry if that is due.
func (f *Follower) republish(ctx context.Context) {
	newest := f.Snapshot()
	now := f.common.Clock.Now()
	f.mu.Lock()
	due := f.republishInterval > 0 && newest.Revision > 0 && !now.Before(f.republishAt)
	if due {
		f.republishAt = now.Add(republishRetry)
	}
	f.mu.Unlock()
	if !due {
		return
	}
	entry := Entry{
		ID:   fmt.Sprintf("%s%d-%s", republishPrefix, newest.Revision, f.republishBy),
		Base: newest.Revision,
		By:   newest.By,
		Time: now,
		Text: newest.Text,
	}
	if err := f.appendEntry(ctx, entry); err != nil {
		f.common.Event(common.EventRulesRepublishFailed).WithError(err).Warn("could not republish the rules in force; will retry")
		return
	}
	f.common.Event(common.EventRulesRepublished).WithField("base", newest.Revision).Info("rules in force republished")
}

func (f *Follower) appendEntry(ctx context.Context, entry Entry) error {
	data, err := entry.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, err = f.log.Append(ctx, Stream, data)
	return err
}
