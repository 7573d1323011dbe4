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
	testTimeout = time.Second
	testKeep    = time.Minute
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
	m := newMembers(c, self, testTimeout, testKeep)
	m.setListed([]oleanderline.VM{
		{ID: "own-1", Role: oleanderline.RoleOwn, State: oleanderline.VMLive, Address: "10.0.0.1:9"},
		{ID: "own-2", Role: oleanderline.RoleOwn, State: oleanderline.VMLive, Address: "10.0.0.2:9"},
		{ID: "own-3", Role: oleanderline.RoleOwn, State: oleanderline.VMLive, Address: "10.0.0.3:9"},
	})
	return m
}

// lostHome reports whether some key is treated as one whose home has died.
func lostHome(m *members, now time.Time) bool {
	for i := range 100 {
		if m.plan(fmt.Sprint("key-", i), now).homeLost {
			return true
		}
	}
	return false
}

// Guards against an entry that decides about keys after a pause or a separation, when others have gone on without it, and
// against a dead home that is forgotten too early or a returned one that is held dead.
func TestMembersAndKeys(t *testing.T) {
	clock := common.NewVirtualClock(time.Unix(1000, 0))
	m := newTestMembers(clock)
	step := func(d time.Duration) time.Time {
		clock.Advance(d)
		return clock.Now()
	}
	hearAll := func(now time.Time) {
		m.tick(now)
		m.hear(peerHeartbeat("own-2", 1, "10.0.0.2", 2*testKeep), now)
		m.hear(peerHeartbeat("own-3", 1, "10.0.0.3", 2*testKeep), now)
	}
	require.False(t, m.keysReady(clock.Now()), "it has asked nobody yet")
	now := step(100 * time.Millisecond)
	hearAll(now)
	m.settle(now)
	require.True(t, m.keysReady(now))
	require.False(t, lostHome(m, now))

	now = step(testTimeout + 1)
	require.False(t, m.keysReady(now), "the process was paused")
	require.True(t, m.tick(now))
	m.expire(now)
	require.True(t, lostHome(m, now), "the peers seem lost")
	hearAll(now)
	require.False(t, lostHome(m, now), "they have kept their keys")
	require.False(t, m.keysReady(now), "the round after the pause has not ended")
	now = step(time.Millisecond)
	m.settle(now)
	require.True(t, m.keysReady(now))
	require.NotEmpty(t, earlierHomes(m, now), "others may have decided during the pause")

	for range 3 {
		now = step(testTimeout / 2)
		m.tick(now)
		m.hear(peerHeartbeat("own-2", 1, "10.0.0.2", 2*testKeep), now)
	}
	require.True(t, lostHome(m, now), "a silent member is lost before expire has run")
	gone := m.expire(now)
	require.Len(t, gone, 1)
	require.EqualValues(t, "own-3", gone[0].ID)
	require.True(t, m.keysReady(now), "two of three are alive")
	require.True(t, lostHome(m, now))
	m.hear(peerHeartbeat("own-3", 2, "10.0.0.4", 0), now)
	require.True(t, lostHome(m, now), "a new process of the same name does not have the keys")
	_, hosts := m.bound(now)
	require.Len(t, hosts, 4, "the old and the new own-3 both count")
	m.hear(peerHeartbeat("own-3", 1, "10.0.0.3", 2*testKeep), now)
	require.Equal(t, "10.0.0.4:1", m.addresses(now)["own-3"], "an older incarnation does not replace a newer one")
	now = step(testKeep + 1)
	m.expire(now)
	require.False(t, m.keysReady(now), "it was alone for too long")
}

func earlierHomes(m *members, now time.Time) []oleanderline.VMID {
	var found []oleanderline.VMID
	for i := range 100 {
		found = append(found, m.plan(fmt.Sprint("key-", i), now).earlier...)
	}
	return found
}

// Guards against settings that start a daemon that cannot work, and against messages that leave the operator to guess.
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

// Guards against a successor that takes over keys although a holder of their records may be out of sight.
func TestTakeoverNeedsEveryPossibleHolder(t *testing.T) {
	scenarios := []struct {
		name   string
		before func(m *members, now time.Time) // while all are alive
		silent []string
		want   bool
	}{
		{"one lost", func(*members, time.Time) {}, []string{"own-3"}, true},
		{"two lost", func(*members, time.Time) {}, []string{"own-2", "own-3"}, false},
		{"one lost, one stopped as planned", func(m *members, now time.Time) {
			m.left(peerHeartbeat("own-2", 1, "10.0.0.2", 0).Member)
			m.hear(peerHeartbeat("own-2", 1, "10.0.0.2", 0), now) // overtaken by the message of the stop
		}, []string{"own-2", "own-3"}, true},
		{"one lost, one replaced", func(m *members, now time.Time) {
			m.hear(peerHeartbeat("own-2", 2, "10.0.0.2", 0), now)
		}, []string{"own-3"}, false},
		{"one lost that was alone", func(m *members, now time.Time) {
			b := peerHeartbeat("own-3", 1, "10.0.0.3", 0)
			b.Alone = true
			m.hear(b, now)
		}, []string{"own-3"}, false},
		{"one lost, one listed and never heard", func(m *members, _ time.Time) {
			m.setListed(append(slices.Clone(m.listed), oleanderline.VM{ID: "own-4", Role: oleanderline.RoleOwn, State: oleanderline.VMLive}))
		}, []string{"own-3"}, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			clock := common.NewVirtualClock(time.Unix(1000, 0))
			m := newTestMembers(clock)
			for _, id := range []string{"own-2", "own-3"} {
				m.hear(peerHeartbeat(id, 1, "10.0.0."+id[len(id)-1:], 2*testKeep), clock.Now())
			}
			s.before(m, clock.Now())
			clock.Advance(testTimeout + 1)
			now := clock.Now()
			if !slices.Contains(s.silent, "own-2") {
				m.hear(peerHeartbeat("own-2", m.peers["own-2"].incarnation, "10.0.0.2", 2*testKeep), now)
			}
			lost, takeOver := 0, 0
			for i := range 100 {
				plan := m.plan(fmt.Sprint("key-", i), now)
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

// Guards against a second run between the moment at which a home counts as dead and the next round of heartbeats, which
// notes its loss: until then the new home must not take the key for one that nobody had.
func TestHomeIsLostAsSoonAsItIsSilent(t *testing.T) {
	clock := common.NewVirtualClock(time.Unix(1000, 0))
	m := newTestMembers(clock)
	clock.Advance(time.Millisecond)
	m.tick(clock.Now())
	m.hear(peerHeartbeat("own-2", 1, "10.0.0.2", 0), clock.Now())
	m.hear(peerHeartbeat("own-3", 1, "10.0.0.3", 0), clock.Now())
	m.settle(clock.Now())
	clock.Advance(testTimeout)
	m.tick(clock.Now())
	m.hear(peerHeartbeat("own-2", 1, "10.0.0.2", testTimeout), clock.Now())
	require.False(t, lostHome(m, clock.Now()))
	clock.Advance(1)
	require.True(t, m.keysReady(clock.Now()))
	require.True(t, lostHome(m, clock.Now()))
}
