package cellfake

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against a simulated store that allows only one reading of what an append without records does to sequence numbers.
func TestSequencesAfterANewTerm(t *testing.T) {
	type scenario struct {
		name    string
		options []StoreOption
		stored  bool // the first append of the new term is stored, although it has a number of the earlier term
	}
	for _, s := range []scenario{
		{"begin anew", nil, true},
		{"go on", []StoreOption{WithLastingSequences()}, false},
	} {
		t.Run(s.name, func(t *testing.T) {
			ctx := context.Background()
			store := NewStore(s.options...)
			for _, step := range []struct {
				term     oleanderline.Term
				sequence int64
				key      string // "" for an append without records
			}{{1, 0, ""}, {1, 1, "a"}, {2, 0, ""}, {2, 1, "b"}} {
				var records []oleanderline.KeyedRecord
				if step.key != "" {
					records = append(records, oleanderline.KeyedRecord{Key: step.key, Value: []byte("v")})
				}
				_, err := store.Append(ctx, "s", records, oleanderline.AppendCondition{Writer: "leader", Term: step.term, Sequence: step.sequence})
				require.NoError(t, err)
			}
			batch, err := store.Newest(ctx, "s")
			require.NoError(t, err)
			require.Equal(t, s.stored, len(batch.Records) == 2)
			_, err = store.Append(ctx, "s", nil, oleanderline.AppendCondition{Writer: "leader", Term: 1})
			require.ErrorIs(t, err, oleanderline.ErrFenced)
		})
	}
}
