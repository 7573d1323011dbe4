package scrape

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a partly read page being treated as complete, and against a failing node being treated as one without
// metrics.
func TestFetch(t *testing.T) {
	type scenario struct {
		name    string
		status  int
		body    string
		want    Page
		wantErr string
	}
	for _, s := range []scenario{
		{"values", http.StatusOK, "# a comment\na 1\nb{queue=\"q\",result=\"late\"} 2.5\n", Page{"a": 1, `b{queue="q",result="late"}`: 2.5}, ""},
		{"not a number", http.StatusOK, "a 1\nb x\n", nil, "b:"},
		{"failing", http.StatusInternalServerError, "a 1\n", nil, "status 500"},
	} {
		t.Run(s.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(s.status)
				_, _ = fmt.Fprint(w, s.body)
			}))
			defer server.Close()
			page, err := Fetch(context.Background(), strings.TrimPrefix(server.URL, "http://"))
			if s.wantErr != "" {
				require.ErrorContains(t, err, s.wantErr)
				return
			}
			require.NoError(t, err)
			require.Equal(t, s.want, page)
		})
	}
}

// Guards against values of other metrics, or of metrics without both labels, being included in the results.
func TestResults(t *testing.T) {
	page := Page{`a{queue="q",result="late"}`: 2, `a{queue="q",result="missed"}`: 3, `b{queue="q",result="late"}`: 5, "a": 7}
	require.Equal(t, map[string]map[string]float64{"q": {"late": 2, "missed": 3}}, page.Results("a"))
}
