package pairs

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against blame for fillers that only happen to work beside a harmful one, and against harmful ones that are cleared
// because they disturb only under load.
func TestLearnsTheHarmfulPairs(t *testing.T) {
	servings := []Image{"calm", "touchy", "other"}
	fillers := []Image{"f0", "f1", "f2", "f3", "f4", "f5", "f6", "f7", "f8"}
	bad := map[pair]bool{{"touchy", "f0"}: true, {"touchy", "f1"}: true, {"other", "f2"}: true}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		l := New()
		for range 600 {
			serving := servings[random.IntN(len(servings))]
			var beside []Image
			for _, i := range random.Perm(len(fillers))[:1+random.IntN(4)] {
				beside = append(beside, fillers[i])
			}
			l.Observe(Observation{Serving: serving, TargetRatio: tail(random, serving, beside, bad), Steady: beside})
		}
		for _, serving := range servings {
			for _, filler := range fillers {
				require.Equal(t, bad[pair{serving, filler}], l.Harmful(serving, filler), "seed %d, %s beside %s: %.2f", seed, filler, serving, l.HarmProbability(serving, filler))
			}
		}
	}
}

// tail returns a ratio as the reports of workers show it: high for a third of the time beside a harmful filler, and now and
// then a little above the target by the load of the task itself.
func tail(random *rand.Rand, serving Image, beside []Image, bad map[pair]bool) float64 {
	for _, filler := range beside {
		if bad[pair{serving, filler}] && random.Float64() < 0.35 {
			return 5
		}
	}
	if random.Float64() < 0.03 {
		return 1.2
	}
	return 0.5
}

// Guards against a filler that is blamed for a tail that a known one explains.
func TestKnownFillerExplainsATail(t *testing.T) {
	l := New()
	for range 5 {
		l.Observe(Observation{Serving: "s", TargetRatio: 5, Steady: []Image{"known"}})
	}
	before := l.HarmProbability("s", "new")
	l.Observe(Observation{Serving: "s", TargetRatio: 5, Steady: []Image{"known", "new"}})
	require.InDelta(t, before, l.HarmProbability("s", "new"), 0.15)
	require.True(t, l.Harmful("s", "known"))
}

// Guards against harmless fillers that are convicted because they always work beside a harmful one.
func TestCompanionsAreNotConvictedTogether(t *testing.T) {
	l := New()
	for range 20 {
		l.Observe(Observation{Serving: "s", TargetRatio: 5, Steady: []Image{"a", "b", "c"}})
	}
	for _, filler := range []Image{"a", "b", "c"} {
		require.False(t, l.Harmful("s", filler))
	}
	l.Observe(Observation{Serving: "s", TargetRatio: 5, Steady: []Image{"a"}})
	require.True(t, l.Harmful("s", "a"))
}

// Guards against harm that is learned only when the load is so high that the target is missed: replicas elsewhere carry the
// same load, so one comparison at low load convicts or clears a filler that works alone.
func TestComparisonWithReplicasTellsAtAnyLoad(t *testing.T) {
	type scenario struct {
		name    string
		excess  float64
		harmful bool
		cleared bool
	}
	for _, s := range []scenario{
		{"much slower than its replicas", 2.5, true, false},
		{"slower than its replicas", 1.6, true, false},
		{"within what rounding explains", 1.3, false, false},
		{"as fast as its replicas", 1, false, true},
	} {
		t.Run(s.name, func(t *testing.T) {
			l := New()
			l.Observe(Observation{Serving: "s", TargetRatio: 0.5, ReplicaRatio: s.excess, Steady: []Image{"f"}})
			require.Equal(t, s.harmful, l.Harmful("s", "f"))
			require.Equal(t, s.cleared, l.HarmProbability("s", "f") < prior/2)
		})
	}
}

// Guards against a filler that is blamed for the load of a lasting task, which its replicas carry as well.
func TestLoadThatReplicasShareIsNotBlamed(t *testing.T) {
	l := New()
	l.Observe(Observation{Serving: "s", TargetRatio: 1.3, ReplicaRatio: 1.05, Steady: []Image{"f"}})
	require.Less(t, l.HarmProbability("s", "f"), prior)
}
