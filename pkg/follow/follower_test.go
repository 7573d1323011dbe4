package follow

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/cellfake"
)

const stream = oleanderline.Stream("s")

func appendRecord(t *testing.T, store *cellfake.Store, key, value string) {
	t.Helper()
	_, err := store.Append(context.Background(), stream, []oleanderline.KeyedRecord{{Key: key, Value: []byte(value)}}, oleanderline.AppendCondition{})
	require.NoError(t, err)
}

// Guards against records that are missed when the log trims the stream between two reads.
func TestFollowerReloadsAfterTrim(t *testing.T) {
	store := cellfake.NewStore()
	f := New(store, stream, 0)
	appendRecord(t, store, "a", "1")
	records, snapshot, err := f.Next(context.Background())
	require.NoError(t, err)
	require.True(t, snapshot)
	require.Len(t, records, 1)
	appendRecord(t, store, "a", "2")
	records, snapshot, err = f.Next(context.Background())
	require.NoError(t, err)
	require.False(t, snapshot)
	require.Equal(t, "2", string(records[0].Value))
	appendRecord(t, store, "a", "3")
	store.Trim(stream)
	_, _, err = f.Next(context.Background())
	require.ErrorIs(t, err, oleanderline.ErrTrimmed)
	records, snapshot, err = f.Next(context.Background())
	require.NoError(t, err)
	require.True(t, snapshot)
	require.Equal(t, "3", string(records[0].Value))
}
