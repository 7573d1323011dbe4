package rules

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against an example file that has errors, because operators copy it.
func TestExampleFileIsValid(t *testing.T) {
	text, err := os.ReadFile("../../examples/rules.txt")
	require.NoError(t, err)
	set, report := Parse(string(text))
	require.Empty(t, report.Errors)
	require.Len(t, set.Drains, 2)
	require.Equal(t, Drain{
		Origin: Origin{Line: 4, Comment: "kernel update, asked by the platform team"},
		Target: Target{VM: "w-17"},
		Window: Window{From: time.Date(2026, 12, 6, 3, 0, 0, 0, time.UTC)},
	}, set.Drains[0])
	require.Equal(t, time.Date(2026, 12, 9, 1, 0, 0, 0, time.UTC), set.Drains[1].From)
	require.Equal(t, 0.85, set.Sheds[0].Above)
	require.Equal(t, 0.2, set.Holds[0].Share)
	require.Equal(t, oleanderline.Size{CPU: 4000, Memory: 16000}, set.Holds[1].Size)
	require.Equal(t, oleanderline.Size{CPU: 400_000, Accelerators: 12}, set.Quotas[0].Size)
	require.Equal(t, 0.999, set.Objectives[0].Target)
	require.Equal(t, PriorityHigh, set.Classes[0].Priority)
	require.True(t, set.Classes[2].Long)
	require.Equal(t, 2000.0, set.Limits[0].Rate)
}

// Guards against errors with a wrong position or without the allowed values, and against reporting only the first of
// several errors.
func TestParseReportsEveryError(t *testing.T) {
	type scenario struct {
		name string
		text string
		want []string // prefixes of the errors, in order
	}
	for _, s := range []scenario{
		{"verb", "drian vm=a # x", []string{`1:1: unknown verb "drian"; allowed: drain, shed,`}},
		{"key", "drain vn=a vm=b # x", []string{`1:7: drain does not have the key "vn"; allowed: vm, rack, domain, service, at, from, until, zone; did you mean "vm"?`}},
		{"several errors", "slo service=a latency=0 target=100%\nquota team=t", []string{
			"1:23: latency=0 is not allowed", "1:32: target=100% is not allowed", "1:36: comment is missing",
			"2:1: quota needs an amount", "2:13: comment is missing",
		}},
		{"duplicate key", "limit service=a service=b rate=3 # x", []string{"1:17: service is given again"}},
		{"no target", "drain at=2026-12-06T03:00Z # x", []string{"1:1: drain needs a target"}},
		{"window", "drain vm=a from=2026-12-06T03:00Z until=2026-12-06T02:00Z # x", []string{"1:41: the window ends before it begins"}},
		{"zone", "drain vm=a at=2026-12-06T03:00 # x", []string{"1:15: at=2026-12-06T03:00 is not allowed"}},
		{"weekday", "drain vm=a from=Fry/18:00 until=Sat/02:00 # x", []string{`1:17: "Fry" is not a weekday`}},
		{"share and amount", "hold cpu=20% mem=3GB vm=a # x", []string{"1:6: a share and an amount are mixed"}},
		{"not a number", "limit service=a rate=NaN # x\nlimit service=a rate=1e3 # x", []string{"1:22: rate=NaN", "2:22: rate=1e3"}},
		{"control", "drain vm=a\x00b # x", []string{"1:11: control character"}},
		{"old line ends", "drain vm=a # x\rdrain vm=b # y", []string{"1:15: control character '\\r'"}},
		{"binary", "# ok\nab\xff", []string{"2:3: the file is not text"}},
		{"UTF-16", "\xff\xfed\x00", []string{"1:1: the file is in UTF-16"}},
		{"10 MB", strings.Repeat("#\n", 5<<20), []string{"1:1: the file is too long; allowed: up to 1048576 bytes"}},
	} {
		t.Run(s.name, func(t *testing.T) {
			_, report := Parse(s.text)
			require.Len(t, report.Errors, len(s.want), "%v", report.Errors)
			for i, want := range s.want {
				require.True(t, strings.HasPrefix(report.Errors[i].String(), want), report.Errors[i].String())
			}
		})
	}
}

// Guards against a daemon that rejects a whole revision because of one line for a newer version, against errors because of
// a byte order mark or CRLF line ends, and against reports that grow without limit with an invalid file.
func TestParseKeepsKnownRules(t *testing.T) {
	text := "\ufeffdrain vm=a # x\r\nteleport vm=b # y\n\r\nquota team=t acc=1 # z"
	set, report := Parse(text)
	require.Equal(t, text, set.Text)
	require.Len(t, report.Errors, 1)
	require.Equal(t, []Unknown{{Line: 2, Text: "teleport vm=b # y"}}, set.Unknown)
	require.Len(t, set.Drains, 1)
	require.Len(t, set.Quotas, 1)

	_, report = Parse(strings.Repeat("x\n", 100_000))
	require.Len(t, report.Errors, maxProblems)
	require.Equal(t, 100_000-maxProblems, report.Omitted)
}
