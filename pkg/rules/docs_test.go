package rules

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against documentation that does not match the parser.
func TestDocumentedRulesAreValid(t *testing.T) {
	text, err := os.ReadFile("../../docs/rules.md")
	require.NoError(t, err)
	blocks := strings.Split(string(text), "```rules\n")
	require.Len(t, blocks, 2)
	example, _, _ := strings.Cut(blocks[1], "```")
	set, report := Check(example, testStart)
	require.Empty(t, report.Errors)
	require.Empty(t, report.Warnings)
	require.Len(t, Rules(example), 10)
	require.Empty(t, set.Unknown)
	for _, v := range verbs {
		require.Contains(t, string(text), "| `"+v.name+"` |")
		for _, key := range v.keys {
			require.Contains(t, string(text), key)
		}
	}
}
