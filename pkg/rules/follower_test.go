package rules

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

var testStart = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// sharedCommon is created once, because creating its actor system takes longer than running a schedule.
var sharedCommon = common.New("test", common.WithLogger(common.NewLogger(io.Discard, logrus.PanicLevel)))

func testCommon(clock oleanderline.Clock) *common.Common {
	c := *sharedCommon
	c.Clock = clock
	c.Metrics = metrics.NewSet()
	return &c
}

func mustAppend(t require.TestingT, log oleanderline.LogService, e Entry) {
	data, err := e.Encode()
	require.NoError(t, err)
	_, err = log.Append(context.Background(), Stream, data)
	require.NoError(t, err)
}

// Guards against a follower that loses its rules in an outage, cannot start in one although a peer has the rules, or does
// not notice that retention removed entries.
func TestFollowerInOutageAndGap(t *testing.T) {
	ctx := context.Background()
	clock := common.NewVirtualClock(testStart)
	log := newFakeLog()
	mustAppend(t, log, Entry{ID: "a", By: "ana", Text: "drain vm=a # x\n"})
	mustAppend(t, log, Entry{ID: "b", By: "bo", Text: "lost the race"})
	first := NewFollower(testCommon(clock), log)
	first.Step(ctx)
	require.Equal(t, oleanderline.Revision(1), first.Current().Revision)
	require.Equal(t, "ana", first.Current().By)
	require.Len(t, first.Changed(), 1)

	log.down = true
	clock.Advance(time.Minute)
	first.Step(ctx)
	require.Len(t, first.Current().Drains, 1)
	require.Equal(t, time.Minute, first.Status().Age)
	require.True(t, first.Status().LogDown)

	second := NewFollower(testCommon(clock), log, WithPeers(func(context.Context) []Snapshot {
		return []Snapshot{first.Snapshot()}
	}))
	second.Step(ctx)
	require.Equal(t, first.Current().Text, second.Current().Text)
	require.True(t, second.Status().FromPeer)

	log.down = false
	log.retain(3)
	isolated := NewFollower(testCommon(clock), log)
	isolated.Step(ctx)
	require.False(t, isolated.Status().Settled)
	mustAppend(t, log, Entry{ID: "c", Base: 1, Text: "quota team=t acc=1 # y\n"})
	for _, f := range []*Follower{first, second, isolated} {
		f.Step(ctx)
	}
	require.Equal(t, oleanderline.Revision(3), first.Current().Revision)
	require.Equal(t, oleanderline.Revision(3), second.Current().Revision)
	require.Zero(t, isolated.Current().Revision, "its base lies before the gap, so it does not settle the revision")
	mustAppend(t, log, Entry{ID: "d", Base: 3, Text: ""})
	isolated.Step(ctx)
	require.Equal(t, oleanderline.Revision(4), isolated.Current().Revision)
	require.True(t, isolated.Status().Settled)
}

// Guards against transferring the full text from every peer every few seconds throughout an outage.
func TestFollowerAsksPeersLessOftenInAnOutage(t *testing.T) {
	clock := common.NewVirtualClock(testStart)
	log := newFakeLog()
	mustAppend(t, log, Entry{ID: "a", Text: "# x\n"})
	queries := 0
	f := NewFollower(testCommon(clock), log, WithPeers(func(context.Context) []Snapshot {
		queries++
		return nil
	}))
	f.Step(t.Context())
	log.down = true
	queriesInAnHour := func() int {
		before := queries
		for range 3600 {
			clock.Advance(time.Second)
			f.Step(t.Context())
		}
		return queries - before
	}
	require.Equal(t, 1, queries, "a new process queries its peers before it reads the stream")
	require.LessOrEqual(t, queriesInAnHour(), 12)
	require.LessOrEqual(t, queriesInAnHour(), 6)
	log.down = false
	f.Step(t.Context())
	log.down = true
	before := queries
	clock.Advance(maxPeerInterval)
	f.Step(t.Context())
	clock.Advance(minPeerInterval)
	f.Step(t.Context())
	require.Equal(t, before+2, queries, "a new outage starts with the minimum interval")
}
