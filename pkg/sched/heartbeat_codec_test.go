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
		codecs := [2]*heartbeatCodec{newHeartbeatCodec(), newHeartbeatCodec()}
		states := [2]Heartbeat{{Member: member.Member{ID: "a"}}, {Member: member.Member{ID: "b"}}}
		exchange := func(from int) (first Heartbeat) {
			to := 1 - from
			for try := range maxExchangeCalls {
				sent := codecs[from].encodeFor(states[from], "peer")
				if try == 0 {
					first = sent
				}
				got, decoded := codecs[to].decode(sent)
				reply := codecs[to].encodeReply(states[to], sent)
				require.Equal(t, decoded, codecs[from].handleReply("peer", sent, reply))
				gotReply, heard := codecs[from].decode(reply)
				if decoded && heard {
					require.Equal(t, states[from].Member, got.Member)
					require.Equal(t, states[from].Rooms, got.Rooms)
					require.Equal(t, states[to].Member, gotReply.Member)
					require.Equal(t, states[to].Rooms, gotReply.Rooms)
					return first
				}
			}
			require.Fail(t, "each side must receive the other's state in one exchange")
			return first
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			side := rapid.IntRange(0, 1).Draw(t, "side")
			switch rapid.SampledFrom([]string{"exchange", "lost", "restart", "change", "forget"}).Draw(t, "step") {
			case "exchange":
				exchange(side)
			case "lost":
				codecs[1-side].decode(codecs[side].encodeFor(states[side], "peer"))
			case "restart":
				codecs[side] = newHeartbeatCodec()
				states[side].Member.Incarnation++
			case "change":
				states[side].Member.Draining = !states[side].Member.Draining
				states[side].Rooms = map[oleanderline.ShardID]shard.Room{1: {}, oleanderline.ShardID(side): {}}
			case "forget":
				codecs[side].forget(states[1-side].Member.ID)
			}
		}
		exchange(0)
		require.True(t, exchange(0).Short)
	})
}
