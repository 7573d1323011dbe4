package standin

import (
	"strconv"
	"strings"
	"time"
)

// program is what a command string asks a stand-in worker to do.
type program struct {
	length     time.Duration
	endless    bool
	fail       bool
	ignoreStop bool
}

// parseCommand reads words such as "sleep 2s", "fail", "serve" (runs until stopped) and "ignore-stop" in any combination.
// Other words have no effect.
func parseCommand(command string) program {
	var p program
	words := strings.Fields(command)
	for i, word := range words {
		switch word {
		case "sleep":
			if i+1 < len(words) {
				p.length, _ = time.ParseDuration(words[i+1])
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

// checkpointPrefix marks a checkpoint, followed by the work done in nanoseconds.
const checkpointPrefix = "done-ns="

func writeCheckpoint(done time.Duration) string {
	return checkpointPrefix + strconv.FormatInt(int64(done), 10)
}

func readCheckpoint(checkpoint string) time.Duration {
	done, _ := strconv.ParseInt(strings.TrimPrefix(checkpoint, checkpointPrefix), 10, 64)
	return time.Duration(done)
}
