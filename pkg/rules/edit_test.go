package rules

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against edits that produce a different text, and against invalid edits that make every reader panic.
func TestEditsLeadToTheText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := rapid.SliceOfN(rapid.SampledFrom([]string{"a\n", "b\n", "\n", "c\r\n", "d", "e\n", "f\n", "g\n"}), 0, 20)
		base, text := strings.Join(rows.Draw(t, "base"), ""), strings.Join(rows.Draw(t, "text"), "")
		edits := makeEdits(base, text)
		got, err := applyEdits(base, edits)
		require.NoError(t, err)
		require.Equal(t, text, got)
		if base == text {
			require.Empty(t, edits)
		}
		bad := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Edit {
			n := rapid.OneOf(rapid.IntRange(-2, 25), rapid.Int())
			return Edit{At: n.Draw(t, "at"), Remove: n.Draw(t, "remove"), Insert: "x\n"}
		})).Draw(t, "bad")
		if got, err := applyEdits(base, bad); err == nil {
			require.Equal(t, strings.Count(got, "x\n"), len(bad))
		}
	})
}

// Guards against accepting edits that do not match their base, and against a follower that stops reading at them.
func TestEntryWithWrongEditsIsIgnored(t *testing.T) {
	log := newFakeLog()
	mustAppend(t, log, Entry{ID: "a", Text: "a\nb\n"})
	mustAppend(t, log, Entry{ID: "b", Base: 1, Sum: checksum("other"), Edit: []Edit{{At: 1, Remove: 1}}})
	mustAppend(t, log, Entry{ID: "c", Base: 1, Sum: checksum("a\n"), Edit: []Edit{{At: 1, Remove: 1}}})
	f := NewFollower(testCommon(&instantClock{now: testStart}), log)
	f.Step(t.Context())
	require.Equal(t, "a\n", f.Current().Text)
	require.Equal(t, "c", f.Snapshot().ID)
	require.Equal(t, 1, f.Snapshot().Edits)
}
