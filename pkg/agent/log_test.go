package agent

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

// Guards against a start of which the log does not show that an agent sent it, for which leader and with what outcome, and against
// the end of an agent of which the log does not show the reason.
func TestAgentLogsItsStartsAndItsEnd(t *testing.T) {
	var log bytes.Buffer
	key := oleanderline.RunKey{Task: oleanderline.TaskKey{Job: "j", Index: 3}, Run: 2003}
	synctest.Test(t, func(t *testing.T) {
		leader := &fakeLeader{items: []Item{{Number: 1, Kind: ItemAssign, Worker: "w"}}}
		a := startLoggingAgent(t, leader, &fakeRunner{}, &log)
		time.Sleep(100 * time.Millisecond)
		leader.set(func() {
			leader.items = []Item{
				{Number: 2, Kind: ItemOrder, Worker: "w", Order: plan.Order{Kind: plan.OrderStart, Worker: "w", Key: key}, At: time.Now()},
				{Number: 3, Kind: ItemOrder, Worker: "w", Order: plan.Order{Kind: plan.OrderStart, Worker: "w", Key: key}, At: time.Now().Add(-time.Minute)},
				{Number: 4, Kind: ItemOrder, Worker: "w", Order: plan.Order{Kind: plan.OrderStop, Worker: "w", Key: key}, At: time.Now()},
			}
		})
		time.Sleep(100 * time.Millisecond)
		a.Stop()
	})
	var starts, ends []map[string]any
	for decoder := json.NewDecoder(&log); decoder.More(); {
		var l map[string]any
		require.NoError(t, decoder.Decode(&l))
		switch l["event"] {
		case "E6046":
			starts = append(starts, l)
		case "E6042":
			ends = append(ends, l)
		}
	}
	require.Len(t, starts, 2)
	for i, want := range []map[string]any{{"msg": "started", "attempts": 1.0}, {"msg": oleanderline.ErrUnavailable.Error(), "attempts": 0.0}} {
		for field, value := range want {
			require.Equal(t, value, starts[i][field], field)
		}
		require.Equal(t, key.Task.String(), starts[i]["task"])
		require.InDelta(t, 2003, starts[i]["run"], 0)
		require.InDelta(t, 3, starts[i]["term"], 0)
		require.Equal(t, "w", starts[i]["worker"])
		require.Equal(t, "leader", starts[i]["leader"])
	}
	require.Len(t, ends, 1)
	require.Equal(t, errStopped.Error(), ends[0]["reason"])
	require.InDelta(t, 2, ends[0]["starts"], 0)
}

// BenchmarkLogStart measures the line of one start.
func BenchmarkLogStart(b *testing.B) {
	c := common.New("test", common.WithLogger(common.NewLogger(io.Discard, logrus.InfoLevel)))
	s := newSession(New(c, "vm1", nil, nil), testInvitation)
	key := oleanderline.RunKey{Task: oleanderline.TaskKey{Job: "fb500e955732b4d9", Index: 3}, Run: 2003}
	for b.Loop() {
		s.logStart(plan.Result{Order: plan.Order{Worker: "i-1771f246", Key: key}, Attempts: 1, Took: 7 * time.Millisecond})
	}
}
