package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/cellfake"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// behindLog answers reads slowly and with at most page records. What it returns is as of the begin of the read.
type behindLog struct {
	*cellfake.Store
	page  int
	delay time.Duration
}

func (l *behindLog) Newest(ctx context.Context, stream oleanderline.Stream) (oleanderline.KeyedBatch, error) {
	batch, err := l.Store.Newest(ctx, stream)
	time.Sleep(l.delay)
	return batch, err
}

func (l *behindLog) Read(ctx context.Context, stream oleanderline.Stream, from oleanderline.Offset, wait time.Duration) (oleanderline.KeyedBatch, error) {
	batch, err := l.Store.Read(ctx, stream, from, wait)
	if len(batch.Records) > l.page {
		batch.Records = batch.Records[:l.page]
		batch.Next = from + oleanderline.Offset(l.page)
	}
	time.Sleep(l.delay)
	return batch, err
}

// Guards against accepted jobs that are reported as unknown by a process that has just read, but not up to the end of the log as it
// was when the job was accepted: after a load that took seconds, and while the log grows faster than it is read.
func TestProcessThatIsBehindDoesNotDenyJobs(t *testing.T) {
	const visible = 3 * time.Second // from which on an accepted job has to be known
	type scenario struct {
		name   string
		loaded bool // before the job is stored
		page   int  // number of records that a read returns
	}
	for _, s := range []scenario{
		{"load that takes seconds", false, 100},
		{"read that stops before the end", true, 1},
	} {
		t.Run(s.name, func(t *testing.T) {
			commons := newCommons()
			synctest.Test(t, func(t *testing.T) {
				log := &behindLog{Store: cellfake.NewStore(), page: s.page}
				ports := Ports{}
				ports.Log = log
				n := New(commons[0], Settings{}, ports)
				if s.loaded {
					readOnce(t, n, false)
				}
				log.delay = visible + 500*time.Millisecond // the job is stored in the first moments of the read
				done := make(chan struct{})
				go func() {
					defer close(done)
					time.Sleep(400 * time.Millisecond)
					storeJob(t, log, "other")
					storeJob(t, log, "a")
				}()
				if s.loaded {
					<-done
				}
				readOnce(t, n, s.loaded)
				<-done
				log.delay = 0

				_, err := n.State(t.Context(), "q", "a")
				require.NotErrorIs(t, err, oleanderline.ErrUnknownJob)
				require.Error(t, err)
				_, err = n.StateHere("a")
				require.ErrorIs(t, err, oleanderline.ErrNotReady)
				require.ErrorIs(t, n.Cancel(t.Context(), "q", "a"), oleanderline.ErrNotReady)
				_, err = n.PendingJobs("q")
				require.ErrorIs(t, err, oleanderline.ErrNotReady)

				for more := true; more; {
					more = readOnce(t, n, true)
				}
				state, err := n.State(t.Context(), "q", "a")
				require.NoError(t, err)
				require.Equal(t, oleanderline.JobPending, state)
			})
		})
	}
}

func readOnce(t *testing.T, n *Node, loaded bool) (more bool) {
	t.Helper()
	_, more, err := n.readRecords(loaded, 0)
	require.NoError(t, err)
	return more
}

func storeJob(t *testing.T, log oleanderline.KeyedLog, id oleanderline.JobID) {
	rec, err := record.ForJob(&oleanderline.Job{ID: id, Queue: "q", Payload: "x", Steps: []oleanderline.Step{{Count: 1}}})
	require.NoError(t, err)
	_, err = log.Append(t.Context(), record.Stream, []oleanderline.KeyedRecord{rec}, oleanderline.AppendCondition{})
	require.NoError(t, err)
}
