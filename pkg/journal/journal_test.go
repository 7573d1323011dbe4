package journal

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderline/oleanderline"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func submission(n int) Record {
	return Record{Kind: KindSubmit, Job: &Job{ID: oleanderline.JobID(fmt.Sprint(n))}}
}

// fakeLog fakes the stream of a log service, which may store groups after their append has timed out.
type fakeLog struct {
	groups []Group
	late   []Group // not stored yet, although their appends have timed out
}

// tryAppend appends a group with a random one of the possible results of the log service, and returns the error that the
// writer receives.
func (s *fakeLog) tryAppend(t *rapid.T, group Group) error {
	switch rapid.IntRange(0, 4).Draw(t, "result") {
	case 0:
		return oleanderline.ErrUnavailable
	case 1:
		return oleanderline.ErrUncertain
	case 2:
		s.groups = append(s.groups, group)
		return oleanderline.ErrUncertain
	case 3:
		s.late = append(s.late, group)
		return oleanderline.ErrUncertain
	default:
		s.groups = append(s.groups, group)
		return nil
	}
}

func (s *fakeLog) acceptedJobs() []oleanderline.JobID {
	order := NewOrder(DisabledChecks{})
	var ids []oleanderline.JobID
	for i, group := range s.groups {
		if order.Accept(oleanderline.Offset(i+1), group) {
			for _, record := range group.List {
				ids = append(ids, record.Job.ID)
			}
		}
	}
	return ids
}

// Guards against records that are lost or accepted twice when the log service is unavailable, loses answers or stores a
// group after the append has timed out, and against a withdrawn record that is stored nevertheless.
func TestWriterStoresEachRecordOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log fakeLog
		w := NewWriter("writer/1")
		now := start
		added, withdrawn := 0, map[oleanderline.JobID]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				added++
				w.Add(now, added%3 == 0, submission(added))
			case 1:
				id := oleanderline.JobID(fmt.Sprint(rapid.IntRange(1, 60).Draw(t, "withdraw")))
				if w.Withdraw(func(r Record) bool { return r.Job.ID == id }) {
					withdrawn[id] = true
				}
			case 2:
				if len(log.late) > 0 {
					log.groups, log.late = append(log.groups, log.late[0]), log.late[1:]
				}
			default:
				if group, ok := w.Next(1, 1, now); ok {
					w.HandleResult(group.Seq, log.tryAppend(t, group), now)
				}
			}
		}
		for w.PendingRecords() > 0 {
			now = now.Add(maxBackoff)
			if group, ok := w.Next(1, 1, now); ok {
				log.groups = append(log.groups, group)
				w.HandleResult(group.Seq, nil, now)
			}
		}
		log.groups = append(log.groups, log.late...)
		var want []oleanderline.JobID
		for n := 1; n <= added; n++ {
			if id := oleanderline.JobID(fmt.Sprint(n)); !withdrawn[id] {
				want = append(want, id)
			}
		}
		require.Equal(t, want, log.acceptedJobs())
	})
}

// Guards against a reader that starts after entries were dropped by the log service, and accepts a group that all other
// readers have dropped.
func TestOrderAgreesBehindLostEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []Group
		full := NewOrder(DisabledChecks{})
		accepted := map[oleanderline.Offset]bool{}
		seqs, seenTerms := [3]Seq{}, [3]oleanderline.Term{}
		appendGroup := func(writer int, term oleanderline.Term, record Record) {
			seqs[writer]++
			group := Group{
				Writer: oleanderline.WriterID(fmt.Sprint(writer)), Seq: seqs[writer], Term: term, List: []Record{record},
				Base: oleanderline.Offset(len(log) + 1),
			}
			log = append(log, group)
			offset := oleanderline.Offset(len(log))
			accepted[offset] = full.Accept(offset, group)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			writer := rapid.IntRange(0, 2).Draw(t, "writer")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				seenTerms[writer] = full.Term()
			case 1:
				appendGroup(writer, seenTerms[writer], Record{Kind: KindClaim, Owner: "x"})
			default:
				appendGroup(writer, seenTerms[writer], Record{Kind: KindFree})
			}
		}
		// The owner writes keep records so often that the kept entries contain at least one.
		appendGroup(0, full.Term(), Record{Kind: KindKeep, Owner: "x"})
		oldest := oleanderline.Offset(rapid.IntRange(1, len(log)).Draw(t, "oldest"))
		partial := NewOrder(DisabledChecks{})
		partial.SetStart(oldest)
		for _, group := range log[oldest-1:] {
			partial.RecordTerm(group)
		}
		for offset := oldest; int(offset) <= len(log); offset++ {
			require.Equal(t, accepted[offset], partial.Accept(offset, log[offset-1]), "entry %d", offset)
		}
		require.Equal(t, full.Term(), partial.Term())
	})
}

// Guards against a burst of cancellations that takes more than one record or append.
func TestWriterJoinsCancellations(t *testing.T) {
	w := NewWriter("writer/1")
	for n := range 10_000 {
		w.Add(start, false, Record{Kind: KindCancel, Jobs: []oleanderline.JobID{oleanderline.JobID(fmt.Sprint(n))}})
	}
	group, ok := w.Next(1, 1, start.Add(time.Second))
	require.True(t, ok)
	require.Len(t, group.List, 1)
	require.Len(t, group.List[0].Jobs, 10_000)
	require.Zero(t, w.PendingRecords()-1)
}

// Guards against a reader that starts after the first copy of a group was dropped by the log service, and accepts a delayed
// second copy. It would restore a job that has finished. The random schedules in the tests of pkg/shard found this fault.
func TestOrderDropsCopiesOfLostGroups(t *testing.T) {
	group := Group{Writer: "writer/1", Seq: 8, Term: 1, Base: 50, List: []Record{submission(1)}}
	full, partial := NewOrder(DisabledChecks{}), NewOrder(DisabledChecks{})
	require.True(t, full.Accept(51, group))
	require.False(t, full.Accept(57, group))
	partial.SetStart(55)
	partial.RecordTerm(group)
	require.False(t, partial.Accept(57, group))
}
