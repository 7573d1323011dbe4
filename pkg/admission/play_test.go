package admission

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	playDomains     = 3
	nodesPerDomain  = 2
	tasksPerJob     = 10
	startRate       = 100.0 // tasks a second
	maxBacklog      = 600.0 // tasks, beyond which the leader refuses jobs
	verdictInterval = 400 * time.Millisecond
	playStep        = 10 * time.Millisecond
	playLength      = 60 * time.Second
	maxTries        = 5
)

// load returns how many tasks a second the callers of a failure domain send.
type load func(domain int, at time.Duration) float64

// call is a job that a caller sends, again and again while it is refused.
type call struct{ domain, tries int }

// played is what the callers of a play get.
type played struct {
	sent, firstTry, accepted [playDomains]int // jobs, by failure domain
	returns                  map[int]int      // callers that return, by second
	startedTasks             float64
}

// play lets callers send jobs to the nodes of their failure domain while a leader starts tasks. Without the gate, nodes refuse what the
// leader refuses, and callers return when the leader says.
func play(l load, gated bool) played {
	result := played{returns: map[int]int{}}
	var gates [playDomains * nodesPerDomain]Gate
	due := map[int][]call{} // by step
	backlog, refuse, wait := 0.0, false, time.Duration(0)
	var arriving [playDomains]float64
	part := Part(startRate, len(gates))
	for step := range int(playLength / playStep) {
		at := time.Duration(step) * playStep
		now := start.Add(at)
		if at%verdictInterval == 0 {
			refuse, wait = backlog > maxBacklog, time.Duration((backlog-maxBacklog)/startRate*float64(time.Second))
		}
		for domain := range playDomains {
			for arriving[domain] += l(domain, at) * playStep.Seconds() / tasksPerJob; arriving[domain] >= 1; arriving[domain]-- {
				due[step] = append(due[step], call{domain: domain})
				result.sent[domain]++
			}
		}
		for i, c := range due[step] {
			g := &gates[c.domain*nodesPerDomain+(step+i)%nodesPerDomain]
			if c.tries > 0 {
				result.returns[int(at.Seconds())]++
			}
			if gated && g.Admit(tasksPerJob, refuse, part, now) || !gated && !refuse {
				backlog += tasksPerJob
				result.accepted[c.domain]++
				if c.tries == 0 {
					result.firstTry[c.domain]++
				}
				continue
			}
			if c.tries++; c.tries == maxTries {
				continue
			}
			turn := max(wait, time.Second)
			if gated {
				turn = g.Turn(tasksPerJob, turn, part, now)
			}
			later := step + int(math.Ceil(turn.Seconds()))*int(time.Second/playStep) // Retry-After has whole seconds
			due[later] = append(due[later], c)
		}
		started := min(backlog, startRate*playStep.Seconds())
		backlog -= started
		result.startedTasks += started
	}
	return result
}

func (p played) firstTryShare(domain int) float64 {
	return float64(p.firstTry[domain]) / float64(p.sent[domain])
}

func (p played) mostReturns() int {
	most := 0
	for _, count := range p.returns {
		most = max(most, count)
	}
	return most
}

// calmLoad is within the share of a failure domain.
const calmLoad = 15.0

func greedyDomain(domain int, _ time.Duration) float64 {
	if domain == 0 {
		return 2 * startRate
	}
	return calmLoad
}

// Guards against callers of calm failure domains that are refused because those of another one send more than can be started, and against
// room that stays unused meanwhile.
func TestGreedyDomain(t *testing.T) {
	with, without := play(greedyDomain, true), play(greedyDomain, false)
	t.Logf("accepted at the first try, by failure domain: %v of %v; without the gate %v", with.firstTry, with.sent, without.firstTry)
	for domain := 1; domain < playDomains; domain++ {
		require.Greater(t, with.firstTryShare(domain), 0.95)
		require.Less(t, without.firstTryShare(domain), 0.8, "the play needs the gate")
	}
	require.GreaterOrEqual(t, with.startedTasks, 0.98*without.startedTasks)
}

// Guards against a part of the room that is kept for failure domains that do not need it.
func TestUnusedSharesAreLent(t *testing.T) {
	alone := play(func(domain int, _ time.Duration) float64 {
		if domain == 0 {
			return 0.95 * startRate
		}
		return 0
	}, true)
	require.Equal(t, alone.sent[0], alone.firstTry[0])
}

func burst(_ int, at time.Duration) float64 {
	if at < 15*time.Second {
		return startRate
	}
	return calmLoad
}

func wave(_ int, at time.Duration) float64 {
	return startRate / playDomains * (1.1 + math.Sin(2*math.Pi*at.Seconds()/20))
}

// Guards against refused callers that return all at once after a burst or the crest of a wave, and against turns by which fewer of them
// are accepted.
func TestReturnsAreSpread(t *testing.T) {
	for _, s := range []struct {
		name string
		load load
	}{{"burst", burst}, {"wave", wave}} {
		t.Run(s.name, func(t *testing.T) {
			with, without := play(s.load, true), play(s.load, false)
			sum := func(counts [playDomains]int) int { return counts[0] + counts[1] + counts[2] }
			t.Logf("of %d jobs %d accepted, at most %d returns a second; without the gate %d and %d",
				sum(with.sent), sum(with.accepted), with.mostReturns(), sum(without.accepted), without.mostReturns())
			require.Less(t, with.mostReturns(), without.mostReturns())
			require.GreaterOrEqual(t, sum(with.accepted), sum(without.accepted))
		})
	}
}
