package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a key that may run twice within its time, and against memory above the bound.
func TestTableKeepsKeysWithinItsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{Keep: time.Minute, MaxBytes: 3000, AnswerBytes: 500}
		table := NewTable(settings)
		now := time.Unix(0, 0)
		permitted := map[string]uint64{} // token of the attempt that runs or ran
		until := map[string]time.Time{}  // zero while it runs
		for token := uint64(1); token < 100; token++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "seconds")) * time.Second)
			key := fmt.Sprint("key-", rapid.IntRange(0, 9).Draw(t, "key"))
			if end, ended := until[key]; ended && now.Sub(end) > settings.Keep {
				delete(permitted, key)
				delete(until, key)
			}
			verdict, _ := table.Begin(Record{Key: key, Token: token, Until: now.Add(time.Hour)}, now)
			if verdict == VerdictRun {
				require.Zero(t, permitted[key], "key %s got a second permission", key)
				permitted[key] = token
			}
			attempt := Record{Key: key, Token: permitted[key]}
			_, ended := until[key]
			if attempt.Token != 0 && !ended {
				switch rapid.IntRange(0, 3).Draw(t, "end") {
				case 0:
					table.Release(key, attempt.Executor, attempt.Token)
					delete(permitted, key)
				case 1:
					attempt.State = StateUnknown
					table.Settle(attempt, now)
					until[key] = now
				case 2:
					attempt.State = StateAnswered
					attempt.Answer = &Answer{Body: make([]byte, rapid.IntRange(0, 600).Draw(t, "size"))}
					table.Settle(attempt, now)
					until[key] = now
				}
			}
			require.LessOrEqual(t, table.Bytes(), settings.MaxBytes)
		}
	})
}
