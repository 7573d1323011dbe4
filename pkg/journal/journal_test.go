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

// stored is what a log service holds, with copies that arrive late.
type stored struct {
	groups []Group
	late   []Group
}

// attempt appends a group with one of the fates that the log service has, and returns what the writer learns.
func (s *stored) attempt(t *rapid.T, group Group) error {
	switch rapid.IntRange(0, 4).Draw(t, "fate") {
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

func (s *stored) read() []oleanderline.JobID {
	order := NewOrder(Checks{})
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

// Guards against records that are lost or counted twice when the log service is down, loses answers or stores a group
// after its sender has given up, and against a withdrawn record that is stored all the same.
func TestWriterStoresEachRecordOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log stored
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
					w.Answered(group.Seq, log.attempt(t, group), now)
				}
			}
		}
		for w.Waiting() > 0 {
			now = now.Add(retryMost)
			if group, ok := w.Next(1, 1, now); ok {
				log.groups = append(log.groups, group)
				w.Answered(group.Seq, nil, now)
			}
		}
		log.groups = append(log.groups, log.late...)
		var want []oleanderline.JobID
		for n := 1; n <= added; n++ {
			if id := oleanderline.JobID(fmt.Sprint(n)); !withdrawn[id] {
				want = append(want, id)
			}
		}
		require.Equal(t, want, log.read())
	})
}

// Guards against a reader that starts behind lost entries and accepts a group that every other reader has dropped.
func TestOrderAgreesBehindLostEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []Group
		full := NewOrder(Checks{})
		accepted := map[oleanderline.Offset]bool{}
		seqs, views := [3]Seq{}, [3]oleanderline.Term{}
		store := func(writer int, term oleanderline.Term, record Record) {
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
				views[writer] = full.Term()
			case 1:
				store(writer, views[writer], Record{Kind: KindClaim, Owner: "x"})
			default:
				store(writer, views[writer], Record{Kind: KindFree})
			}
		}
		// The owner shows signs of life at least that often that the kept entries hold one.
		store(0, full.Term(), Record{Kind: KindKeep, Owner: "x"})
		oldest := oleanderline.Offset(rapid.IntRange(1, len(log)).Draw(t, "oldest"))
		late := NewOrder(Checks{})
		late.Begin(oldest)
		for _, group := range log[oldest-1:] {
			late.Survey(group)
		}
		for offset := oldest; int(offset) <= len(log); offset++ {
			require.Equal(t, accepted[offset], late.Accept(offset, log[offset-1]), "entry %d", offset)
		}
		require.Equal(t, full.Term(), late.Term())
	})
}

// Guards against a burst of cancellations that takes more than one append.
func TestWriterJoinsCancellations(t *testing.T) {
	w := NewWriter("writer/1")
	for n := range 10_000 {
		w.Add(start, false, Record{Kind: KindCancel, Jobs: []oleanderline.JobID{oleanderline.JobID(fmt.Sprint(n))}})
	}
	group, ok := w.Next(1, 1, start.Add(time.Second))
	require.True(t, ok)
	require.Len(t, group.List, 1)
	require.Len(t, group.List[0].Jobs, 10_000)
	require.Zero(t, w.Waiting()-1)
}

// Guards against a reader behind lost entries that takes a late second copy for the first: it would bring back a job that
// is finished (found by the schedules of pkg/shard).
func TestOrderDropsCopiesOfLostGroups(t *testing.T) {
	copied := Group{Writer: "writer/1", Seq: 8, Term: 1, Base: 50, List: []Record{submission(1)}}
	full, late := NewOrder(Checks{}), NewOrder(Checks{})
	require.True(t, full.Accept(51, copied))
	require.False(t, full.Accept(57, copied))
	late.Begin(55)
	late.Survey(copied)
	require.False(t, late.Accept(57, copied))
}
