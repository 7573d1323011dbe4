package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against a malformed record that crashes every process of a cell, since all of them read it.
func FuzzApply(f *testing.F) {
	for _, key := range []string{"l", "i", "j/1", "c/1", "p/1", "w/1", "n/1", "m/1", "x", ""} {
		f.Add(key, []byte(`{"s":4,"d":{"0":"AQ=="},"steps":[{"n":1}],"cores":1,"term":3}`), []byte("null"))
	}
	f.Fuzz(func(_ *testing.T, key string, first, second []byte) {
		r := New(func(error) {})
		now := time.Unix(1000, 0)
		for _, value := range [][]byte{first, second, nil} {
			records := []oleanderline.KeyedRecord{{Key: key, Value: value}}
			r.Apply(oleanderline.KeyedBatch{Records: records, Next: 1, End: 1}, now, now)
		}
		if entry, ok := r.Job("1"); ok {
			entry.State()
		}
		r.PeerAddresses("self")
		r.MaxCores()
		r.Expired(now.Add(time.Hour), time.Minute)
	})
}

// Guards against a stored but invalid job that crashes every leader.
func TestImpossibleJobsAreSkipped(t *testing.T) {
	type scenario struct{ name, value string }
	for _, s := range []scenario{
		{"depends on a step that does not exist", `{"q":"q","steps":[{"n":1,"after":[5]}]}`},
		{"stored by a version that did not check for overflow", `{"q":"q","steps":[{"n":4}],"rep":{"n":9223372036854775807,"first":"2026-12-06T00:00:00Z","every":60000000000}}`},
	} {
		t.Run(s.name, func(t *testing.T) {
			malformed := 0
			r := New(func(error) { malformed++ })
			records := []oleanderline.KeyedRecord{{Key: "j/1", Value: []byte(s.value)}}
			r.Apply(oleanderline.KeyedBatch{Records: records, Next: 1, End: 1}, time.Unix(1000, 0), time.Unix(1000, 0))
			require.Equal(t, 1, malformed)
			_, known := r.Job("1")
			require.False(t, known)
		})
	}
}
