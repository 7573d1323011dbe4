package queue

import "time"

// Level is the place of a task in the feedback queue. A lower level goes first.
type Level int

// Levels.
const (
	LevelShort Level = iota
	LevelMiddle
	LevelLong
	levels
)

// levelBounds are the run times from which on a task belongs to the next level.
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
