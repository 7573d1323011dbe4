package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline/pkg/capacity"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// Guards against a change of leader at each start of a process because a larger VM is still registered that has left for good.
func TestRegistrationOfADepartedVMDoesNotEndTerms(t *testing.T) {
	type scenario struct {
		name  string
		cores float64 // of the VM that has left; the others have one
	}
	for _, s := range []scenario{{"of the same size", 1}, {"larger", 8}} {
		t.Run(s.name, func(t *testing.T) {
			commons := newCommons()
			synctest.Test(t, func(t *testing.T) {
				c := newTestCell(t, 0, commons)
				defer c.close()
				time.Sleep(4 * time.Second)
				departed, err := record.ForNode("departed", record.Node{VM: capacity.VM{Cores: s.cores}})
				require.NoError(t, err)
				c.appendRecord(record.Stream, departed.Key, string(departed.Value))
				time.Sleep(4 * time.Second) // a leader may resign once to the larger VM
				before := c.process(c.leaderIndex()).node.replica.Leader().Term
				for i := range processCount {
					if i != c.leaderIndex() {
						c.killProcess(i, 200*time.Millisecond)
						time.Sleep(3 * time.Second)
					}
				}
				require.Equal(t, before, c.process(c.leaderIndex()).node.replica.Leader().Term)
			})
		})
	}
}
