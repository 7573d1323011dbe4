package oleanderline

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an append that is larger than the log accepts, which is refused each time, and against records that are lost or
// reordered when they are split over several appends.
func TestAppendsStayWithinTheLimit(t *testing.T) {
	record := func(key string, size int) KeyedRecord { return KeyedRecord{Key: key, Value: make([]byte, size)} }
	records := []KeyedRecord{record("a", 50), record("b", 50), record("c", 200), record("d", 10)}
	type scenario struct {
		name  string
		limit ByteCount
		want  [][]KeyedRecord
	}
	for _, s := range []scenario{
		{"no limit", 0, [][]KeyedRecord{records}},
		{"all fit", 1000, [][]KeyedRecord{records}},
		{"exactly two", 112, [][]KeyedRecord{records[:2], records[2:3], records[3:]}},
		{"one byte short", 111, [][]KeyedRecord{records[:1], records[1:2], records[2:3], records[3:]}},
	} {
		t.Run(s.name, func(t *testing.T) {
			require.Equal(t, s.want, LogLimits{Append: s.limit}.Split(records))
		})
	}
	require.Empty(t, LogLimits{Append: 10}.Split(nil))
}
