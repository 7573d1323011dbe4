package oleanderline

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a panic in String when a process of a newer version sends a value that this version does not know.
func TestUnknownValuesHaveAName(t *testing.T) {
	require.Equal(t, "unknown", EndKind(99).String())
	require.Equal(t, "unknown", EndKind(-1).String())
	require.Equal(t, "unknown", RefusalReason(99).String())
	require.Equal(t, "done", EndDone.String())
	require.Equal(t, "invalid", RefusedInvalid.String())
}
