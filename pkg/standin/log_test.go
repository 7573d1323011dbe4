package standin

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

// Guards against a fake that hides gaps from readers after entries were removed, and against an append without effect when
// only its answer is lost.
func TestLogRetentionAndFaults(t *testing.T) {
	ctx := context.Background()
	clock := common.NewVirtualClock(time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC))
	log := NewLog(clock, WithKeepCount(3), WithKeepAge(time.Minute))
	for range 5 {
		_, err := log.Append(ctx, "s", []byte("x"))
		require.NoError(t, err)
	}
	batch, err := log.Read(ctx, "s", 1, 2)
	require.NoError(t, err)
	require.Equal(t, oleanderline.Offset(3), batch.Oldest)
	require.Equal(t, oleanderline.Offset(6), batch.Next)
	require.Len(t, batch.Entries, 2)
	require.Equal(t, oleanderline.Offset(3), batch.Entries[0].Offset)

	log.LoseAnswers(1)
	_, err = log.Append(ctx, "s", []byte("lost"))
	require.ErrorIs(t, err, oleanderline.ErrUncertain)
	log.SetDown(true)
	_, err = log.Append(ctx, "s", []byte("down"))
	require.ErrorIs(t, err, oleanderline.ErrUnavailable)
	log.SetDown(false)
	batch, err = log.Read(ctx, "s", 6, 10)
	require.NoError(t, err)
	require.Len(t, batch.Entries, 1)
	require.Equal(t, "lost", string(batch.Entries[0].Data))

	clock.Advance(2 * time.Minute)
	batch, err = log.Read(ctx, "s", 1, 10)
	require.NoError(t, err)
	require.Equal(t, oleanderline.Batch{Oldest: 7, Next: 7}, batch)
}
