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
	id    oleanderline.VMID
	codec *heartbeatCodec
	state Heartbeat
	since time.Time
	seq   uint64
	heard uint64 // newest statement of the other side
}

func (s *heartbeatSide) start(now time.Time) {
	*s = heartbeatSide{id: s.id, codec: newHeartbeatCodec(s.id), since: now, seq: uint64(now.UnixNano())}
	s.state.Member = member.Member{ID: s.id, Address: string(s.id), Incarnation: now.UnixNano()}
	s.state.Statement = slots.Statement{First: s.seq, Members: []oleanderline.VMID{"a", "b"}}
}

func (s *heartbeatSide) heartbeat(other oleanderline.VMID, now time.Time) Heartbeat {
	s.seq++
	b := s.state
	b.Age = now.Sub(s.since)
	b.Statement.Seq, b.Statement.Heard = s.seq, map[oleanderline.VMID]uint64{other: s.heard, "c": 7}
	s.codec.stamp(&b, now)
	return b
}

// hear decodes what the other side sent and compares it with the full heartbeat.
func (s *heartbeatSide) hear(t *rapid.T, received, full Heartbeat, now time.Time) bool {
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

// Guards against a short heartbeat that is taken for other state than its sender has: slots would be used twice, or a dead
// process would be held alive. Restarts, changes and lost messages come in any order.
func TestShortHeartbeatsMeanTheSameAsFullOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		sides := []*heartbeatSide{{id: "a"}, {id: "b"}}
		sides[0].start(now)
		sides[1].start(now)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			from := rapid.IntRange(0, 1).Draw(t, "side")
			a, b := sides[from], sides[1-from]
			switch rapid.SampledFrom([]string{"exchange", "exchange", "exchange", "lost", "restart", "change", "loss", "pause"}).Draw(t, "step") {
			case "restart":
				a.start(now)
			case "change":
				a.state.Refusing = !a.state.Refusing
				a.state.Statement.Using = append(slices.Clone(a.state.Statement.Using), slots.Ref{Minion: "m", Slot: 1})
			case "loss":
				a.state.Lost = []Loss{{ID: "c", For: time.Duration(now.Second())}}
			case "pause":
				a.since = now
				a.codec.reset()
			case "lost":
				full := a.heartbeat(b.id, now)
				b.hear(t, a.codec.forTarget(full, string(b.id)), full, now)
			case "exchange":
				full := a.heartbeat(b.id, now)
				heard := false
				for range exchangeTries {
					sent := a.codec.forTarget(full, string(b.id))
					taken := b.hear(t, sent, full, now)
					answer := b.heartbeat(a.id, now)
					reply := b.codec.forCaller(answer, sent)
					confirmed := a.codec.replied(string(b.id), sent, &reply)
					require.Equal(t, taken, confirmed)
					if heard = a.hear(t, reply, answer, now) && taken; heard {
						break
					}
				}
				require.True(t, heard, "both sides are heard in one exchange")
			}
		}
		a, b := sides[0], sides[1]
		a.state.Lost = nil
		var sent Heartbeat
		for range exchangeTries {
			full := a.heartbeat(b.id, now)
			sent = a.codec.forTarget(full, string(b.id))
			b.hear(t, sent, full, now)
			reply := b.codec.forCaller(b.heartbeat(a.id, now), sent)
			a.codec.replied(string(b.id), sent, &reply)
		}
		require.True(t, sent.Short, "state that does not change is not sent again")
	})
}
