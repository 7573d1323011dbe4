package rules

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderline/oleanderline"
)

// Guards against rules that have no effect because of another rule, without a warning to the operator.
func TestCheckWarns(t *testing.T) {
	type scenario struct {
		name string
		text string
		want []string
	}
	for _, s := range []scenario{
		{"no warnings", "drain vm=a # x\ndrain vm=b # x\nhold cpu=20% domain=d # x\nhold cpu=30% domain=d from=Fri/18:00 until=Sat/02:00 zone=Europe/Stockholm # x", nil},
		{"wider", "drain vm=a domain=d # x\ndrain domain=d # y", []string{"1:1: drain is shadowed by the drain on line 2"}},
		{"equal", "drain vm=a # x\ndrain vm=a # y", []string{"2:1: drain is shadowed by the drain on line 1"}},
		{"later window", "drain vm=a from=2027-01-01T00:00Z # x\ndrain vm=a from=2027-02-01T00:00Z until=2027-02-02T00:00Z # y", []string{"2:1: drain is shadowed"}},
		{"shed", "shed when=cpu>90% for=30s # x\nshed when=cpu>85% for=30s # y", []string{"1:1: shed is shadowed"}},
		{"hold", "hold cpu=4 vm=a # x\nhold cpu=8 mem=1GB vm=a # y", []string{"1:1: hold is shadowed"}},
		{"weekly zones", "hold cpu=4 vm=a from=Fri/18:00 until=Sat/02:00 zone=Europe/Stockholm # x\nhold cpu=8 vm=a from=Fri/18:00 until=Sat/02:00 zone=Europe/Stockholm # y", []string{"1:1: hold is shadowed"}},
		{"contradiction", "quota team=t acc=1 # x\nquota team=t acc=2 # y", []string{"1:1: quota for team t contradicts line 2"}},
		{"class", "class name=a service=s path=/x priority=low # x\nclass name=a service=s path=/x priority=high # y", []string{"2:1: class for service s /x contradicts line 1, and the earlier rule applies"}},
		{"drained service", "slo service=s latency=1s target=99% # x\ndrain service=s # y", []string{"2:1: drain empties every minion"}},
		{"ended", "drain vm=a until=2026-01-01T00:00Z # x", []string{"1:1: the window ended"}},
		{"UTC", "drain vm=a from=Fri/18:00 until=Sat/02:00 # x", []string{"1:1: the weekly window is in UTC"}},
		{"line ends", "drain vm=a # x\r\ndrain vm=b # x\n", []string{"1:1: line ends are mixed"}},
	} {
		t.Run(s.name, func(t *testing.T) {
			_, report := Check(s.text, testStart)
			require.Empty(t, report.Errors)
			require.Len(t, report.Warnings, len(s.want), "%v", report.Warnings)
			for i, want := range s.want {
				require.True(t, strings.HasPrefix(report.Warnings[i].String(), want), report.Warnings[i].String())
			}
		})
	}
}

// Guards against a diff that reports differences in spacing, order or comment-only lines.
func TestDiffIsInTermsOfRules(t *testing.T) {
	from := "# head\ndrain vm=a # x\nquota team=t acc=1 # y\n\nslo service=s latency=1s target=99% # z\n"
	to := "slo target=99%   service=s latency=1s # z\r\nquota acc=2 team=t # y\ndrain vm=b # x\n"
	var got []string
	for _, c := range Diff(from, to) {
		got = append(got, c.String())
	}
	require.Equal(t, []string{
		"- drain vm=a # x",
		"~ quota team=t acc=1 # y\n  quota team=t acc=2 # y",
		"+ drain vm=b # x",
	}, got)
	require.Empty(t, Diff(from, from))
}

// Guards against a byte that changes between show and publish, and against input that makes the parser panic.
func TestRoundTripIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.SampledFrom([]string{
			"drain", "vm=a", "# who", "\n", "\r\n", " ", "\t", "quota team=t acc=1", byteOrderMark, "# base-revision: 3\n", "é",
			"hold cpu=20% domain=d", "from=Fri/18:00", "until=", "slo", "\x00", "\xff", "=", "#",
		})
		text := strings.Join(rapid.SliceOf(word).Draw(t, "words"), "")
		revision := oleanderline.Revision(rapid.Int64Range(0, 1<<40).Draw(t, "revision"))
		rest, base, found := CutBase(AddBase(text, revision))
		require.True(t, found)
		require.Equal(t, revision, base)
		require.Equal(t, text, rest)

		set, report := Check(text, testStart)
		require.Equal(t, text, set.Text)
		if !report.OK() {
			return
		}
		data, err := Entry{ID: "a", Text: text}.Encode()
		require.NoError(t, err)
		decoded, err := DecodeEntry(data)
		require.NoError(t, err)
		require.Equal(t, text, decoded.Text)
		require.Empty(t, Diff(text, decoded.Text))
	})
}
