package sched

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/member"
	"github.com/oleanderline/oleanderline/pkg/shard"
)

// Guards against a short heartbeat that is decoded to a state other than the sender's, after any sequence of lost messages
// and restarts, and against unchanged state that is sent in full again.
func TestShortHeartbeatsMeanTheSameAsFullOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := [2]*heartbeatVersions{newHeartbeatVersions(), newHeartbeatVersions()}
		states := [2]Heartbeat{{Member: member.Member{ID: "a"}}, {Member: member.Member{ID: "b"}}}
		exchange := func(from int) (first Heartbeat) {
			to := 1 - from
			for try := range maxExchangeCalls {
				sent := versions[from].encodeForAddress(states[from], "peer")
				if try == 0 {
					first = sent
				}
				got, taken := versions[to].decode(sent)
				reply := versions[to].encodeReply(states[to], sent)
				require.Equal(t, taken, versions[from].recordReply("peer", sent, reply))
				back, heard := versions[from].decode(reply)
				if taken && heard {
					require.Equal(t, states[from].Member, got.Member)
					require.Equal(t, states[from].Rooms, got.Rooms)
					require.Equal(t, states[to].Member, back.Member)
					require.Equal(t, states[to].Rooms, back.Rooms)
					return first
				}
			}
			require.Fail(t, "both sides are heard in one exchange")
			return first
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			side := rapid.IntRange(0, 1).Draw(t, "side")
			switch rapid.SampledFrom([]string{"exchange", "lost", "restart", "change", "forget"}).Draw(t, "step") {
			case "exchange":
				exchange(side)
			case "lost":
				versions[1-side].decode(versions[side].encodeForAddress(states[side], "peer"))
			case "restart":
				versions[side] = newHeartbeatVersions()
				states[side].Member.Incarnation++
			case "change":
				states[side].Member.Draining = !states[side].Member.Draining
				states[side].Rooms = map[oleanderline.ShardID]shard.Room{1: {}, oleanderline.ShardID(side): {}}
			case "forget":
				versions[side].forget(states[1-side].Member.ID)
			}
		}
		exchange(0)
		require.True(t, exchange(0).Short)
	})
}
