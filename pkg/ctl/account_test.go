package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const accountLog = `{"time":"2026-05-23T15:45:00.000Z","event":"E6020","msg":"job stored","job":"j1","queue":"q"}
{"time":"2026-05-23T15:45:01.000Z","event":"E6030","msg":"start","task":"j1.0.0.0","run":1,"worker":"w1","waited":0.75,"obstacle":"room","kind":"batch"}
{"time":"2026-05-23T15:45:03.500Z","event":"E6031","msg":"done","task":"j1.0.0.0","run":1,"worker":"w1"}
{"time":"2026-05-23T15:45:03.600Z","event":"E6023","msg":"completed","task":"j1.0.0.0","run":0}
`

// Guards against an account that hides damaged lines or an unreadable file, and against one that does not show the time of a job.
func TestAccount(t *testing.T) {
	dir := t.TempDir()
	good, cut := filepath.Join(dir, "good.log"), filepath.Join(dir, "cut.log")
	require.NoError(t, os.WriteFile(good, []byte(accountLog), 0o600))
	require.NoError(t, os.WriteFile(cut, []byte(accountLog[:len(accountLog)-10]), 0o600))
	for _, s := range []struct {
		name        string
		command     AccountCommand
		code        int
		out, errors []string
	}{
		{"queues", AccountCommand{Logs: []string{good}}, ExitOK, []string{"queue q: jobs completed 1", "waited   0.8 s: room 0.8", "ran      2.5 s"}, nil},
		{"one job", AccountCommand{Logs: []string{good}, Job: "j1"}, ExitOK, []string{"job j1 of queue q: completed after 3.600 s", "0.750 s", "room", "2.500 s"}, nil},
		{"JSON", AccountCommand{Logs: []string{good}, JSON: true}, ExitOK, []string{`"ran": 2.5`, `"room": 0.75`}, nil},
		{"standard input", AccountCommand{Logs: []string{"-"}}, ExitOK, []string{"queue q: jobs completed 1"}, nil},
		{"cut log", AccountCommand{Logs: []string{cut}}, ExitOK, []string{"queue q: jobs open 1"}, []string{"1 lines could not be decoded", "cut.log:4"}},
		{"unknown job", AccountCommand{Logs: []string{good}, Job: "j2"}, ExitFailure, nil, []string{"no line of the logs names job j2"}},
		{"no file", AccountCommand{Logs: []string{filepath.Join(dir, "none.log")}}, ExitFailure, nil, []string{"none.log"}},
	} {
		t.Run(s.name, func(t *testing.T) {
			s.command.Period = 2 * time.Second
			settings := DefaultSettings()
			settings.Account = &s.command
			require.NoError(t, settings.Validate())
			var out, errors bytes.Buffer
			require.Equal(t, s.code, New(settings, WithStreams(strings.NewReader(accountLog), &out, &errors)).Run(t.Context()))
			for _, want := range s.out {
				require.Contains(t, out.String(), want)
			}
			for _, want := range s.errors {
				require.Contains(t, errors.String(), want)
			}
			require.Equal(t, len(s.errors) == 0, errors.Len() == 0, errors.String())
		})
	}
}

// Guards against a period that would divide the time endlessly.
func TestAccountPeriodIsChecked(t *testing.T) {
	settings := DefaultSettings()
	settings.Account = &AccountCommand{Logs: []string{"-"}}
	require.ErrorContains(t, settings.Validate(), "--period")
}
