package node

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against a log line that names the wrong call when a caller asks about a job that is not known.
func TestRefusalNamesTheCall(t *testing.T) {
	type scenario struct {
		name string
		call func(c *testCell, n *Node) error
		want string
	}
	for _, s := range []scenario{
		{"state", func(c *testCell, n *Node) error { _, err := n.State(c.ctx, "q", "none"); return err }, `"call":"state"`},
		{"cancel", func(c *testCell, n *Node) error { return n.Cancel(c.ctx, "q", "none") }, `"call":"cancel"`},
	} {
		t.Run(s.name, func(t *testing.T) {
			commons := newCommons()
			var log bytes.Buffer
			commons[0].Log.Logger.SetOutput(&log)
			commons[0].Log.Logger.SetLevel(logrus.WarnLevel)
			synctest.Test(t, func(t *testing.T) {
				c := newTestCell(t, 0, commons)
				defer c.close()
				time.Sleep(4 * time.Second) // until there is a leader
				require.ErrorIs(t, s.call(c, c.process(0).node), oleanderline.ErrUnknownJob)
			})
			require.Contains(t, log.String(), s.want)
		})
	}
}
