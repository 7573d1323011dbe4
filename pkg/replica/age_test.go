package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against a replica that counts as recent because it was read a moment ago, although what it read was old: its process answers
// that an accepted job does not exist.
func TestAge(t *testing.T) {
	type read struct {
		next, end   oleanderline.Offset
		begun, took time.Duration // the begin, since the load; and how long the read took
	}
	type scenario struct {
		name     string
		loadTook time.Duration
		reads    []read
		at       time.Duration // since the begin of the load
		want     time.Duration
	}
	for _, s := range []scenario{
		{"a load is as old as its first page", 5 * time.Second, nil, 5 * time.Second, 5 * time.Second},
		{"a read up to the end", time.Second, []read{{20, 20, 2 * time.Second, 0}}, 3 * time.Second, time.Second},
		{"a read that is answered late", 0, []read{{20, 20, time.Second, 3 * time.Second}}, 4 * time.Second, 3 * time.Second},
		{"a read that stops before the end", 0, []read{{20, 40, 3 * time.Second, 0}}, 4 * time.Second, 4 * time.Second},
		{"reads that stay behind a growing end", 0, []read{{20, 30, time.Second, 0}, {29, 50, 2 * time.Second, 0}}, 3 * time.Second, 3 * time.Second},
		{"the end of an earlier read is reached", 0, []read{{20, 30, time.Second, 0}, {30, 50, 2 * time.Second, 0}}, 3 * time.Second, 2 * time.Second},
		{"the end is reached at last", 0, []read{{20, 30, time.Second, 0}, {60, 60, 2 * time.Second, 0}}, 3 * time.Second, time.Second},
	} {
		t.Run(s.name, func(t *testing.T) {
			r := New(func(err error) { require.NoError(t, err) })
			_, known := r.Age(now)
			require.False(t, known)
			r.Load(oleanderline.KeyedBatch{Next: 10, End: 10}, now, now.Add(s.loadTook))
			for _, read := range s.reads {
				begun := now.Add(read.begun)
				r.Apply(oleanderline.KeyedBatch{Next: read.next, End: read.end}, begun, begun.Add(read.took))
			}
			age, known := r.Age(now.Add(s.at))
			require.True(t, known)
			require.Equal(t, s.want, age)
		})
	}
}
