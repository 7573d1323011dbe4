package caller

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline/pkg/common"
)

// Guards against a flood of invalid requests that keeps all other lines out of the log, and against a request for a service
// without minions that is logged as an invalid one.
func TestEventsHaveLimitsOfTheirOwn(t *testing.T) {
	var log bytes.Buffer
	logger := common.NewLogger(&log, logrus.InfoLevel)
	c := common.New("test", common.WithClock(common.NewSystemClock()), common.WithLogger(logger))
	h := NewHandler(c, Settings{}, nil)
	const floodRequests = 20 * maxLogLinesPerSecond
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	for range floodRequests {
		h.refuse(httptest.NewRecorder(), request, &Problem{Status: http.StatusBadRequest, Reason: ReasonBadService})
	}
	require.Less(t, strings.Count(log.String(), string(common.EventBadRequest)), floodRequests)
	h.refuse(httptest.NewRecorder(), request, &Problem{Status: http.StatusNotFound, Reason: ReasonUnknownService})
	require.Equal(t, 1, strings.Count(log.String(), string(common.EventServiceUnknown)))
}
