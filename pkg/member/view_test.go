package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

const heartbeatTimeout = 3 * time.Second

func ids(members []Member) []oleanderline.VMID {
	var list []oleanderline.VMID
	for _, m := range members {
		list = append(list, m.ID)
	}
	return list
}

// Guards against a late heartbeat of a replaced VM that restores its old address.
func TestViewIgnoresOlderIncarnation(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	view := NewView(Member{ID: "a"}, heartbeatTimeout)
	require.True(t, view.RecordHeartbeat(Member{ID: "b", Address: "new", Incarnation: 2}, start))
	require.False(t, view.RecordHeartbeat(Member{ID: "b", Address: "old", Incarnation: 1}, start))
	require.Equal(t, "new", view.Alive(start)[1].Address)
}

// Guards against peers without heartbeats that stay eligible, and against draining members that get new shares.
func TestViewExpiresAndExcludes(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	view := NewView(Member{ID: "a"}, heartbeatTimeout)
	view.RecordHeartbeat(Member{ID: "b"}, start)
	view.RecordHeartbeat(Member{ID: "c", Draining: true}, start.Add(time.Second))
	view.RecordHeartbeat(Member{ID: "a", Draining: true}, start)
	require.Equal(t, []oleanderline.VMID{"a", "b"}, view.Eligible(start.Add(time.Second)))
	late := start.Add(heartbeatTimeout + time.Millisecond)
	require.Equal(t, []oleanderline.VMID{"a", "c"}, ids(view.Alive(late)))
	require.Equal(t, []oleanderline.VMID{"b"}, ids(view.Expire(late)))
	require.True(t, view.RecordHeartbeat(Member{ID: "b"}, late), "a peer that returns joins again")
}
