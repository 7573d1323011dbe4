package entry

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/member"
)

const (
	testTimeout   = time.Second
	testRetention = time.Minute
)

func peerHeartbeat(id string, incarnation int64, address string, age time.Duration) Heartbeat {
	return Heartbeat{
		Member: member.Member{ID: oleanderline.VMID(id), Incarnation: incarnation, Address: address + ":1"},
		Age:    age,
	}
}

func newTestMembers(clock *common.VirtualClock) *members {
	c := common.New("test", common.WithClock(clock), common.WithLogger(common.NewLogger(io.Discard, logrus.InfoLevel)))
	self := member.Member{ID: "own-1", Incarnation: 1, Address: "10.0.0.1:1"}
	m := newMembers(c, self, testTimeout, testRetention)
	m.setListed([]oleanderline.VM{
		{ID: "own-1", Role: oleanderline.RoleOwn, State: oleanderline.VMLive, Address: "10.0.0.1:9"},
		{ID: "own-2", Role: oleanderline.RoleOwn, State: oleanderline.VMLive, Address: "10.0.0.2:9"},
		{ID: "own-3", Role: oleanderline.RoleOwn, State: oleanderline.VMLive, Address: "10.0.0.3:9"},
	})
	return m
}

// anyHomeLost reports whether the home of some key counts as failed.
func anyHomeLost(m *members, now time.Time) bool {
	for i := range 100 {
		if m.keyPlan(fmt.Sprint("key-", i), now).homeLost {
			return true
		}
	}
	return false
}

// Guards against an entry that decides about keys after a pause or a network partition, during which others may have
// decided, against a failed home that is removed too early, and against a home that is alive again but counts as failed.
func TestMembersAndKeys(t *testing.T) {
	clock := common.NewVirtualClock(time.Unix(1000, 0))
	m := newTestMembers(clock)
	advance := func(d time.Duration) time.Time {
		clock.Advance(d)
		return clock.Now()
	}
	hearAll := func(now time.Time) {
		m.tick(now)
		m.recordHeartbeat(peerHeartbeat("own-2", 1, "10.0.0.2", 2*testRetention), now)
		m.recordHeartbeat(peerHeartbeat("own-3", 1, "10.0.0.3", 2*testRetention), now)
	}
	require.False(t, m.keysReady(clock.Now()), "it has contacted no other member yet")
	now := advance(100 * time.Millisecond)
	hearAll(now)
	m.recordRound(now)
	require.True(t, m.keysReady(now))
	require.False(t, anyHomeLost(m, now))

	now = advance(testTimeout + 1)
	require.False(t, m.keysReady(now), "the process was paused")
	require.True(t, m.tick(now))
	m.expire(now)
	require.True(t, anyHomeLost(m, now), "the peers seem to have failed")
	hearAll(now)
	require.False(t, anyHomeLost(m, now), "the peers still have their keys")
	require.False(t, m.keysReady(now), "the round after the pause has not ended")
	now = advance(time.Millisecond)
	m.recordRound(now)
	require.True(t, m.keysReady(now))
	require.NotEmpty(t, earlierHomes(m, now), "others may have decided during the pause")

	for range 3 {
		now = advance(testTimeout / 2)
		m.tick(now)
		m.recordHeartbeat(peerHeartbeat("own-2", 1, "10.0.0.2", 2*testRetention), now)
	}
	require.True(t, anyHomeLost(m, now), "a member whose heartbeats timed out counts as failed before expire has run")
	gone := m.expire(now)
	require.Len(t, gone, 1)
	require.EqualValues(t, "own-3", gone[0].ID)
	require.True(t, m.keysReady(now), "two of three are alive")
	require.True(t, anyHomeLost(m, now))
	m.recordHeartbeat(peerHeartbeat("own-3", 2, "10.0.0.4", 0), now)
	require.True(t, anyHomeLost(m, now), "a new incarnation does not have the keys")
	_, hosts := m.connectionLimit(now)
	require.Len(t, hosts, 4, "the old and the new own-3 must both be counted")
	m.recordHeartbeat(peerHeartbeat("own-3", 1, "10.0.0.3", 2*testRetention), now)
	require.Equal(t, "10.0.0.4:1", m.peerAddresses(now)["own-3"], "an older incarnation does not replace a newer one")
	now = advance(testRetention + 1)
	m.expire(now)
	require.False(t, m.keysReady(now), "no heartbeat has arrived for longer than the timeout")
}

func earlierHomes(m *members, now time.Time) []oleanderline.VMID {
	var found []oleanderline.VMID
	for i := range 100 {
		found = append(found, m.keyPlan(fmt.Sprint("key-", i), now).earlierHomes...)
	}
	return found
}

// Guards against a daemon that starts with invalid settings, and against error messages without the flag, the value and
// what is allowed.
func TestSettingsNameFlagValueAndRange(t *testing.T) {
	s := DefaultSettings()
	s.ID, s.Region, s.Domain, s.Key = "own-1", "r", "d", "sixteen letters!"
	s.Listen, s.PeerListen, s.OperatorListen = "10.0.0.1:80", "10.0.0.1:81", "10.0.0.1:82"
	s.LogService, s.VMList = "http://10.0.0.9:1", "http://10.0.0.9:2"
	require.NoError(t, s.Validate())
	scenarios := []struct {
		change func(*Settings)
		want   string
	}{
		{func(s *Settings) { s.ID = "" }, `--id="": must not be empty`},
		{func(s *Settings) { s.Listen = "host:80" }, `--listen="host:80": "host" is not an IP number`},
		{func(s *Settings) { s.PeerListen = "0.0.0.0:81" }, `--peer-listen="0.0.0.0:81": must be the IP number under which the VM list has this VM`},
		{func(s *Settings) { s.Key = "short" }, `--key (5 characters): must have at least 16 characters`},
		{func(s *Settings) { s.VMList = "ftp://x" }, `--vm-list="ftp://x": want a base URL such as http://10.0.0.9:7000`},
		{func(s *Settings) { s.LogLevel = "loud" }, `--log-level="loud": want debug, info, warning or error`},
		{func(s *Settings) { s.VMListPoll = time.Minute }, `--vm-list-poll=1m0s: must be from 10ms to 1.5s`},
	}
	for _, sc := range scenarios {
		bad := s
		sc.change(&bad)
		require.EqualError(t, bad.Validate(), sc.want)
	}
}

// Guards against a new home that takes over keys although a member that holds their records may be unreachable.
func TestTakeoverNeedsEveryPossibleHolder(t *testing.T) {
	scenarios := []struct {
		name   string
		before func(m *members, now time.Time) // called while all members are alive
		silent []string
		want   bool
	}{
		{"one failed", func(*members, time.Time) {}, []string{"own-3"}, true},
		{"two failed", func(*members, time.Time) {}, []string{"own-2", "own-3"}, false},
		{"one failed, one made a planned stop", func(m *members, now time.Time) {
			m.recordLeave(peerHeartbeat("own-2", 1, "10.0.0.2", 0).Member)
			m.recordHeartbeat(peerHeartbeat("own-2", 1, "10.0.0.2", 0), now) // sent before the message about the stop, and received after it
		}, []string{"own-2", "own-3"}, true},
		{"one failed, one replaced", func(m *members, now time.Time) {
			m.recordHeartbeat(peerHeartbeat("own-2", 2, "10.0.0.2", 0), now)
		}, []string{"own-3"}, false},
		{"one failed that may hold the only copy of a key", func(m *members, now time.Time) {
			hb := peerHeartbeat("own-3", 1, "10.0.0.3", 0)
			hb.Alone = true
			m.recordHeartbeat(hb, now)
		}, []string{"own-3"}, false},
		{"one failed, one listed that has sent no heartbeat", func(m *members, _ time.Time) {
			m.setListed(append(slices.Clone(m.listedVMs), oleanderline.VM{ID: "own-4", Role: oleanderline.RoleOwn, State: oleanderline.VMLive}))
		}, []string{"own-3"}, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			clock := common.NewVirtualClock(time.Unix(1000, 0))
			m := newTestMembers(clock)
			for _, id := range []string{"own-2", "own-3"} {
				m.recordHeartbeat(peerHeartbeat(id, 1, "10.0.0."+id[len(id)-1:], 2*testRetention), clock.Now())
			}
			s.before(m, clock.Now())
			clock.Advance(testTimeout + 1)
			now := clock.Now()
			if !slices.Contains(s.silent, "own-2") {
				m.recordHeartbeat(peerHeartbeat("own-2", m.peers["own-2"].incarnation, "10.0.0.2", 2*testRetention), now)
			}
			lost, takeOver := 0, 0
			for i := range 100 {
				plan := m.keyPlan(fmt.Sprint("key-", i), now)
				if plan.homeLost {
					lost++
				}
				if plan.mayTakeOver {
					takeOver++
				}
			}
			require.Positive(t, lost)
			if !s.want {
				lost = 0
			}
			require.Equal(t, lost, takeOver)
		})
	}
}

// Guards against a second run of a request between the heartbeat timeout of a home and the next round of heartbeats,
// which records its failure: in this time the new home must not treat the key as one that had no home before.
func TestHomeIsLostAsSoonAsItIsSilent(t *testing.T) {
	clock := common.NewVirtualClock(time.Unix(1000, 0))
	m := newTestMembers(clock)
	clock.Advance(time.Millisecond)
	m.tick(clock.Now())
	m.recordHeartbeat(peerHeartbeat("own-2", 1, "10.0.0.2", 0), clock.Now())
	m.recordHeartbeat(peerHeartbeat("own-3", 1, "10.0.0.3", 0), clock.Now())
	m.recordRound(clock.Now())
	clock.Advance(testTimeout)
	m.tick(clock.Now())
	m.recordHeartbeat(peerHeartbeat("own-2", 1, "10.0.0.2", testTimeout), clock.Now())
	require.False(t, anyHomeLost(m, clock.Now()))
	clock.Advance(1)
	require.True(t, m.keysReady(clock.Now()))
	require.True(t, anyHomeLost(m, clock.Now()))
}
