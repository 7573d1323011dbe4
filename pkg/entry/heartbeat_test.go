package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/member"
	"github.com/oleanderline/oleanderline/pkg/slots"
)

// heartbeatSide is one of two entries that exchange heartbeats.
type heartbeatSide struct {
	id                 oleanderline.VMID
	codec              *heartbeatCodec
	state              Heartbeat
	uninterruptedSince time.Time
	seq                uint64
	heard              uint64 // sequence number of the other side's newest statement
}

func (s *heartbeatSide) restart(now time.Time) {
	*s = heartbeatSide{id: s.id, codec: newHeartbeatCodec(s.id), uninterruptedSince: now, seq: uint64(now.UnixNano())}
	s.state.Member = member.Member{ID: s.id, Address: string(s.id), Incarnation: now.UnixNano()}
	s.state.Statement = slots.Statement{First: s.seq, Members: []oleanderline.VMID{"a", "b"}}
}

func (s *heartbeatSide) heartbeat(other oleanderline.VMID, now time.Time) Heartbeat {
	s.seq++
	hb := s.state
	hb.Age = now.Sub(s.uninterruptedSince)
	hb.Statement.Seq, hb.Statement.Heard = s.seq, map[oleanderline.VMID]uint64{other: s.heard, "c": 7}
	s.codec.setVersion(&hb, now)
	return hb
}

// receive decodes a heartbeat of the other side and compares the result with the full heartbeat.
func (s *heartbeatSide) receive(t *rapid.T, received, full Heartbeat, now time.Time) bool {
	got, ok := s.codec.decode(received, now)
	if !ok {
		return false
	}
	require.Equal(t, full.Statement.Heard[s.id], got.Statement.Heard[s.id])
	full.Statement.Heard, got.Statement.Heard = nil, nil
	full.Confirmed, got.Confirmed = 0, 0
	require.Equal(t, full, got)
	s.heard = max(s.heard, full.Statement.Seq)
	return true
}

// Guards against a short heartbeat that the receiver decodes to state that differs from the sender's: two entries would
// use the same slot, or a failed process would count as alive. Restarts, changes and lost messages happen in any order.
func TestShortHeartbeatsMeanTheSameAsFullOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		sides := []*heartbeatSide{{id: "a"}, {id: "b"}}
		sides[0].restart(now)
		sides[1].restart(now)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			from := rapid.IntRange(0, 1).Draw(t, "side")
			sender, receiver := sides[from], sides[1-from]
			switch rapid.SampledFrom([]string{"exchange", "exchange", "exchange", "lost", "restart", "change", "loss", "pause"}).Draw(t, "step") {
			case "restart":
				sender.restart(now)
			case "change":
				sender.state.Refusing = !sender.state.Refusing
				sender.state.Statement.Using = append(slices.Clone(sender.state.Statement.Using), slots.Ref{Minion: "m", Slot: 1})
			case "loss":
				sender.state.Lost = []Loss{{ID: "c", For: time.Duration(now.Second())}}
			case "pause":
				sender.uninterruptedSince = now
				sender.codec.forgetAll()
			case "lost":
				full := sender.heartbeat(receiver.id, now)
				receiver.receive(t, sender.codec.encodeFor(full, string(receiver.id)), full, now)
			case "exchange":
				full := sender.heartbeat(receiver.id, now)
				heard := false
				for range maxExchangeCalls {
					sent := sender.codec.encodeFor(full, string(receiver.id))
					decoded := receiver.receive(t, sent, full, now)
					answer := receiver.heartbeat(sender.id, now)
					reply := receiver.codec.encodeReply(answer, sent)
					confirmed := sender.codec.handleReply(string(receiver.id), sent, &reply)
					require.Equal(t, decoded, confirmed)
					if heard = sender.receive(t, reply, answer, now) && decoded; heard {
						break
					}
				}
				require.True(t, heard, "each side must receive the other's state in one exchange")
			}
		}
		sender, receiver := sides[0], sides[1]
		sender.state.Lost = nil
		var sent Heartbeat
		for range maxExchangeCalls {
			full := sender.heartbeat(receiver.id, now)
			sent = sender.codec.encodeFor(full, string(receiver.id))
			receiver.receive(t, sent, full, now)
			reply := receiver.codec.encodeReply(receiver.heartbeat(sender.id, now), sent)
			sender.codec.handleReply(string(receiver.id), sent, &reply)
		}
		require.True(t, sent.Short, "unchanged state must not be sent again")
	})
}
