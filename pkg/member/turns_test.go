package member_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/member"
)

// Guards against missed heartbeats because neither process of a pair calls, and against both processes calling forever.
func TestHeartbeatTurns(t *testing.T) {
	const interval, settleTime = 200 * time.Millisecond, time.Second
	start := time.Unix(1000, 0)
	from := func(id string) member.Member {
		return member.Member{ID: oleanderline.VMID(id), Address: "10.0.0." + id + ":1"}
	}
	scenarios := []struct {
		name      string
		caller    string
		at        time.Duration // after the call
		peerCalls bool
	}{
		{"the lower id has just called", "1", interval, true},
		{"the lower id is late", "1", 2 * interval, false},
		{"the higher id has called", "3", 0, false},
	}
	for _, s := range scenarios {
		turns := member.NewTurns("2", interval, settleTime)
		turns.RecordCall(from(s.caller), start)
		require.Equal(t, s.peerCalls, turns.PeerCalls("10.0.0."+s.caller+":1", start.Add(s.at)), s.name)
	}
	turns := member.NewTurns("2", interval, settleTime)
	turns.RecordCall(from("1"), start)
	turns.MembersChanged(start)
	require.False(t, turns.PeerCalls("10.0.0.1:1", start), "the members have just changed")
	turns.RecordCall(from("1"), start.Add(settleTime))
	require.True(t, turns.PeerCalls("10.0.0.1:1", start.Add(settleTime)))
}
