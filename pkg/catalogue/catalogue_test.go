package catalogue

import (
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the pages instead of comparing them")

const root = "../.."

// Guards against generated pages that are out of date.
func TestPagesAgreeWithTheCode(t *testing.T) {
	events, err := Events(root)
	require.NoError(t, err)
	metrics, err := Metrics(root)
	require.NoError(t, err)
	for name, want := range map[string]string{
		"events.md":        events,
		"metrics.md":       metrics,
		"configuration.md": Configuration(),
	} {
		path := filepath.Join(root, "docs", name)
		if *update {
			require.NoError(t, os.WriteFile(path, []byte(want), 0o644))
			continue
		}
		got, err := os.ReadFile(path)
		require.NoError(t, err)
		require.Equal(t, want, string(got), "refresh with: go test ./pkg/catalogue -update")
	}
}

// Guards against a generator that finds nothing, or that does not report duplicate event numbers and missing comments.
func TestEventsFindsFaults(t *testing.T) {
	type scenario struct {
		name, code, want string
	}
	for _, s := range []scenario{
		{"duplicate number", "EventA Event = \"E1\" // a\n\tEventB Event = \"E1\" // b", "event E1 is both"},
		{"no comment", "EventA Event = \"E1\"", "event E1 (EventA) has no comment"},
	} {
		t.Run(s.name, func(t *testing.T) {
			dir := t.TempDir()
			require.NoError(t, os.MkdirAll(filepath.Join(dir, "pkg/common"), 0o700))
			code := "package common\n\ntype Event string\n\nconst (\n\t" + s.code + "\n)\n"
			require.NoError(t, os.WriteFile(filepath.Join(dir, "pkg/common/event.go"), []byte(code), 0o600))
			_, err := Events(dir)
			require.ErrorContains(t, err, s.want)
		})
	}
	metrics, err := Metrics(root)
	require.NoError(t, err)
	require.Contains(t, metrics, "| `oleander_rules_revision` | gauge | `pkg/rules` |")
	require.Equal(t, 1, strings.Count(metrics, "`oleander_rules_gaps_total`"))
}

// Guards against an event of the catalogue that operators wait for in vain, because no code logs it.
func TestEveryEventIsLogged(t *testing.T) {
	identifier := regexp.MustCompile(`\bEvent\w+`)
	used, declared := map[string]bool{}, []string{}
	for _, dir := range []string{"pkg", "cmd", "platform"} {
		require.NoError(t, filepath.WalkDir(filepath.Join(root, dir), func(path string, _ os.DirEntry, err error) error {
			if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			for _, name := range identifier.FindAllString(string(source), -1) {
				if strings.HasPrefix(path, filepath.Join(root, "pkg/common/event")) {
					declared = append(declared, name)
				} else {
					used[name] = true
				}
			}
			return err
		}))
	}
	require.NotEmpty(t, declared)
	for _, name := range declared {
		require.True(t, used[name], "no code logs %s", name)
	}
}
