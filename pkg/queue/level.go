package queue

import "time"

// Level is the level of a task in a multilevel feedback queue. Lower levels go first.
type Level int

// Levels by expected run time.
const (
	LevelShort Level = iota
	LevelMiddle
	LevelLong
	levels
)

// levelBounds holds, for each level except the last, the run time from which a task belongs to the next level.
var levelBounds = [levels - 1]time.Duration{time.Minute, 10 * time.Minute}

// LevelOf returns the level for a run time.
func LevelOf(ran time.Duration) Level {
	for level, bound := range levelBounds {
		if ran < bound {
			return Level(level)
		}
	}
	return LevelLong
}
