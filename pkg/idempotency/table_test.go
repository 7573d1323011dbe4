package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against two attempts with the same key being permitted within the retention time, and against memory use above
// the limit.
func TestTableKeepsKeysWithinItsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{Retention: time.Minute, MaxBytes: 3000, MaxAnswerBytes: 500}
		table := NewTable(settings)
		now := time.Unix(0, 0)
		permittedToken := map[string]uint64{} // token of the attempt that runs or ran
		endedAt := map[string]time.Time{}     // absent while the request runs
		for token := uint64(1); token < 100; token++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "seconds")) * time.Second)
			key := fmt.Sprint("key-", rapid.IntRange(0, 9).Draw(t, "key"))
			if end, ended := endedAt[key]; ended && now.Sub(end) > settings.Retention {
				delete(permittedToken, key)
				delete(endedAt, key)
			}
			verdict, _ := table.Begin(Record{Key: key, Token: token, Until: now.Add(time.Hour)}, now)
			if verdict == VerdictRun {
				require.Zero(t, permittedToken[key], "key %s was permitted a second time", key)
				permittedToken[key] = token
			}
			attempt := Record{Key: key, Token: permittedToken[key]}
			_, ended := endedAt[key]
			if attempt.Token != 0 && !ended {
				switch rapid.IntRange(0, 3).Draw(t, "end") {
				case 0:
					table.Release(key, attempt.Executor, attempt.Token)
					delete(permittedToken, key)
				case 1:
					attempt.State = StateUnknown
					table.Settle(attempt, now)
					endedAt[key] = now
				case 2:
					attempt.State = StateAnswered
					attempt.Answer = &Answer{Body: make([]byte, rapid.IntRange(0, 600).Draw(t, "size"))}
					table.Settle(attempt, now)
					endedAt[key] = now
				}
			}
			require.LessOrEqual(t, table.Bytes(), settings.MaxBytes)
		}
	})
}
