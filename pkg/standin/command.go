package standin

import (
	"strconv"
	"strings"
	"time"
)

// program is the behaviour of a task of a stand-in worker, parsed from its command.
type program struct {
	duration   time.Duration
	endless    bool
	fail       bool
	ignoreStop bool
}

// parseCommand parses the words "sleep 2s" (run time), "fail", "serve" (runs until stopped) and "ignore-stop", which can be
// combined. Other words are ignored.
func parseCommand(command string) program {
	var p program
	words := strings.Fields(command)
	for i, word := range words {
		switch word {
		case "sleep":
			if i+1 < len(words) {
				p.duration, _ = time.ParseDuration(words[i+1])
			}
		case "fail":
			p.fail = true
		case "serve":
			p.endless = true
		case "ignore-stop":
			p.ignoreStop = true
		}
	}
	return p
}

// checkpointPrefix is the prefix of a checkpoint. The completed work in nanoseconds follows.
const checkpointPrefix = "done-ns="

func formatCheckpoint(done time.Duration) string {
	return checkpointPrefix + strconv.FormatInt(int64(done), 10)
}

func parseCheckpoint(checkpoint string) time.Duration {
	done, _ := strconv.ParseInt(strings.TrimPrefix(checkpoint, checkpointPrefix), 10, 64)
	return time.Duration(done)
}
