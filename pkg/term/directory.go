package term

import (
	"maps"
	"slices"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/follow"
)

// followDirectory reads the directory of workers and posts all entries whenever one changes.
func (s *Session) followDirectory() {
	entries := map[oleanderline.WorkerID]oleanderline.WorkerEntry{}
	follower := follow.New(s.ports.Log, s.ports.Workers, directoryReadWait)
	for s.ctx.Err() == nil {
		records, full, err := follower.Next(s.ctx)
		if err != nil {
			s.sleep(directoryPollInterval)
			continue
		}
		if full {
			clear(entries)
		}
		changed := full
		for _, rec := range records {
			changed = s.applyEntry(entries, rec) || changed
		}
		if changed {
			s.post(directoryRead{slices.Collect(maps.Values(entries))})
		}
		s.sleep(directoryPollInterval)
	}
}

// applyEntry updates entries from a record, and reports whether they changed. A malformed record removes its worker.
func (s *Session) applyEntry(entries map[oleanderline.WorkerID]oleanderline.WorkerEntry, rec oleanderline.KeyedRecord) bool {
	id := oleanderline.WorkerID(rec.Key)
	old, known := entries[id]
	if len(rec.Value) == 0 {
		delete(entries, id)
		return known
	}
	entry, err := s.ports.DecodeWorker(rec)
	if err == nil {
		err = entry.Validate()
	}
	if err != nil {
		s.common.Event(common.EventWorkerMalformed).WithError(err).Warn("malformed entry in the directory of workers; worker not used")
		delete(entries, id)
		return known
	}
	entries[id] = entry
	return !known || entryChanged(old, entry)
}

func entryChanged(a, b oleanderline.WorkerEntry) bool {
	return a.Address != b.Address || a.Pool != b.Pool || a.Draining != b.Draining || a.Capacity != b.Capacity ||
		a.Incarnation != b.Incarnation || !slices.Equal(a.Labels, b.Labels)
}
