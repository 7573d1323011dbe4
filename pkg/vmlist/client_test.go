package vmlist_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/standin"
	"github.com/oleanderline/oleanderline/pkg/vmlist"
)

// Guards against a conditional read that returns a stale list or one that a caller has modified, and against an unchanged
// list being transferred again.
func TestConditionalReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := standin.NewVMs(common.NewSystemClock(), 0)
		tagged := rapid.Bool().Draw(t, "tagged")
		full := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			inner := httptest.NewRecorder()
			vms.Handler().ServeHTTP(inner, r)
			if tagged {
				w.Header().Set("ETag", inner.Header().Get("ETag"))
			}
			if inner.Code == http.StatusOK {
				full++
			}
			w.WriteHeader(inner.Code)
			_, _ = w.Write(inner.Body.Bytes())
		}))
		defer server.Close()
		client := vmlist.NewClient(server.URL)
		defer client.Close()
		changes, reads := 1, 0
		for i := range rapid.IntRange(1, 12).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "change") {
				vms.Add(oleanderline.VM{ID: oleanderline.VMID(fmt.Sprint("w-", i))})
				changes++
			}
			rows, err := client.List(context.Background())
			require.NoError(t, err)
			want, err := vms.List(context.Background())
			require.NoError(t, err)
			require.ElementsMatch(t, want, rows)
			clear(rows)
			reads++
		}
		if tagged {
			require.LessOrEqual(t, full, changes)
		} else {
			require.Equal(t, reads, full)
		}
	})
}
