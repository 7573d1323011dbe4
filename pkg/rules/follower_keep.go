package rules

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/oleanderline/oleanderline/pkg/common"
)

// keepRetry is the wait after an append that failed.
const keepRetry = 10 * time.Second

// keepTime spreads the followers over a fifth of the interval, so that as a rule one of them appends and the others
// read its entry before their turn. If two append, one entry loses the race without harm.
func (f *Follower) keepTime(s Snapshot) time.Time {
	if f.keepEvery == 0 {
		return time.Time{}
	}
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s/%d", f.keepBy, s.Revision)
	spread := f.keepEvery / 5 * time.Duration(h.Sum32()%1000) / 1000
	return s.Published.Add(f.keepEvery + spread)
}

// keep appends the revision in force again if that is due.
func (f *Follower) keep(ctx context.Context) {
	held := f.Snapshot()
	now := f.common.Clock.Now()
	f.mu.Lock()
	due := f.keepEvery > 0 && held.Revision > 0 && !now.Before(f.keepAt)
	if due {
		f.keepAt = now.Add(keepRetry)
	}
	f.mu.Unlock()
	if !due {
		return
	}
	entry := Entry{
		ID:   fmt.Sprintf("%s%d-%s", keepPrefix, held.Revision, f.keepBy),
		Base: held.Revision,
		By:   held.By,
		Time: now,
		Text: held.Text,
	}
	if err := f.appendKept(ctx, entry); err != nil {
		f.common.Event(common.EventRulesKeepFailed).WithError(err).Warn("rules in force could not be appended again")
		return
	}
	f.common.Event(common.EventRulesKept).WithField("base", held.Revision).Info("rules in force appended again")
}

func (f *Follower) appendKept(ctx context.Context, entry Entry) error {
	data, err := entry.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, err = f.log.Append(ctx, Stream, data)
	return err
}
