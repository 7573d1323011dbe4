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

// testBase is built once, because an actor system takes longer to build than a schedule to run.
var testBase = common.New("test", common.WithLogger(common.NewLogger(io.Discard, logrus.PanicLevel)))

func testCommon(clock oleanderline.Clock) *common.Common {
	c := *testBase
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

// Guards against a follower that forgets its rules in an outage, cannot start in one, or misses a gap.
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
	alone := NewFollower(testCommon(clock), log)
	alone.Step(ctx)
	require.False(t, alone.Status().Settled)
	mustAppend(t, log, Entry{ID: "c", Base: 1, Text: "quota team=t acc=1 # y\n"})
	for _, f := range []*Follower{first, second, alone} {
		f.Step(ctx)
	}
	require.Equal(t, oleanderline.Revision(3), first.Current().Revision)
	require.Equal(t, oleanderline.Revision(3), second.Current().Revision)
	require.Zero(t, alone.Current().Revision, "its base lies before the gap, so it proves nothing")
	mustAppend(t, log, Entry{ID: "d", Base: 3, Text: ""})
	alone.Step(ctx)
	require.Equal(t, oleanderline.Revision(4), alone.Current().Revision)
	require.True(t, alone.Status().Settled)
}

// Guards against whole files from every peer, every few seconds, for the length of an outage.
func TestFollowerAsksPeersLessOftenInAnOutage(t *testing.T) {
	clock := common.NewVirtualClock(testStart)
	log := newFakeLog()
	mustAppend(t, log, Entry{ID: "a", Text: "# x\n"})
	asked := 0
	f := NewFollower(testCommon(clock), log, WithPeers(func(context.Context) []Snapshot {
		asked++
		return nil
	}))
	f.Step(t.Context())
	log.down = true
	hour := func() int {
		before := asked
		for range 3600 {
			clock.Advance(time.Second)
			f.Step(t.Context())
		}
		return asked - before
	}
	require.Equal(t, 1, asked, "a new process asks before it reads")
	require.LessOrEqual(t, hour(), 12)
	require.LessOrEqual(t, hour(), 6)
	log.down = false
	f.Step(t.Context())
	log.down = true
	before := asked
	clock.Advance(maxPeerInterval)
	f.Step(t.Context())
	clock.Advance(peerInterval)
	f.Step(t.Context())
	require.Equal(t, before+2, asked, "a new outage begins with short intervals")
}
