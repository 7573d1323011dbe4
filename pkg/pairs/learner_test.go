package pairs

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against best-effort tasks that count as harmful because they happen to run beside a harmful one, and against harmful
// ones that count as harmless because they interfere only under load.
func TestLearnsTheHarmfulPairs(t *testing.T) {
	servings := []Image{"insensitive", "sensitive", "other"}
	images := []Image{"f0", "f1", "f2", "f3", "f4", "f5", "f6", "f7", "f8"}
	harmful := map[pair]bool{{"sensitive", "f0"}: true, {"sensitive", "f1"}: true, {"other", "f2"}: true}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		l := New()
		for range 600 {
			serving := servings[random.IntN(len(servings))]
			var beside []Image
			for _, i := range random.Perm(len(images))[:1+random.IntN(4)] {
				beside = append(beside, images[i])
			}
			l.Observe(Observation{Serving: serving, TargetRatio: reportedRatio(random, serving, beside, harmful), Steady: beside})
		}
		for _, serving := range servings {
			for _, image := range images {
				require.Equal(t, harmful[pair{serving, image}], l.Harmful(serving, image), "seed %d, %s beside %s: %.2f", seed, image, serving, l.HarmProbability(serving, image))
			}
		}
	}
}

// reportedRatio returns a ratio of tail latency to target as in workers' reports: high for a third of the time beside a
// harmful best-effort task, and sometimes slightly above the target because of the task's own load.
func reportedRatio(random *rand.Rand, serving Image, beside []Image, harmful map[pair]bool) float64 {
	for _, image := range beside {
		if harmful[pair{serving, image}] && random.Float64() < 0.35 {
			return 5
		}
	}
	if random.Float64() < 0.03 {
		return 1.2
	}
	return 0.5
}

// Guards against a new best-effort task that counts as harmful because of a high tail latency that a known harmful best-effort
// task explains.
func TestKnownBestEffortTaskExplainsHighTailLatency(t *testing.T) {
	l := New()
	for range 5 {
		l.Observe(Observation{Serving: "s", TargetRatio: 5, Steady: []Image{"known"}})
	}
	before := l.HarmProbability("s", "new")
	l.Observe(Observation{Serving: "s", TargetRatio: 5, Steady: []Image{"known", "new"}})
	require.InDelta(t, before, l.HarmProbability("s", "new"), 0.15)
	require.True(t, l.Harmful("s", "known"))
}

// Guards against harmless best-effort tasks that count as harmful because they always run beside a harmful one.
func TestBestEffortTasksThatRunTogetherAreNotAllHarmful(t *testing.T) {
	l := New()
	for range 20 {
		l.Observe(Observation{Serving: "s", TargetRatio: 5, Steady: []Image{"a", "b", "c"}})
	}
	for _, image := range []Image{"a", "b", "c"} {
		require.False(t, l.Harmful("s", image))
	}
	l.Observe(Observation{Serving: "s", TargetRatio: 5, Steady: []Image{"a"}})
	require.True(t, l.Harmful("s", "a"))
}

// Guards against harm that is learned only when the load is so high that the target is missed. Replicas on other workers serve
// the same load, so one comparison at low load shows whether a best-effort task that runs alone is harmful.
func TestReplicasShowHarmAtAnyLoad(t *testing.T) {
	type scenario struct {
		name         string
		replicaRatio float64
		harmful      bool
		harmless     bool
	}
	for _, s := range []scenario{
		{"much slower than its replicas", 2.5, true, false},
		{"slower than its replicas", 1.6, true, false},
		{"within rounding error", 1.3, false, false},
		{"as fast as its replicas", 1, false, true},
	} {
		t.Run(s.name, func(t *testing.T) {
			l := New()
			l.Observe(Observation{Serving: "s", TargetRatio: 0.5, ReplicaRatio: s.replicaRatio, Steady: []Image{"f"}})
			require.Equal(t, s.harmful, l.Harmful("s", "f"))
			require.Equal(t, s.harmless, l.HarmProbability("s", "f") < priorHarm/2)
		})
	}
}

// Guards against a best-effort task that counts as harmful because of a high load of a long-running task, which its replicas show as
// well.
func TestLoadOfAllReplicasIsNoHarm(t *testing.T) {
	l := New()
	l.Observe(Observation{Serving: "s", TargetRatio: 1.3, ReplicaRatio: 1.05, Steady: []Image{"f"}})
	require.Less(t, l.HarmProbability("s", "f"), priorHarm)
}
