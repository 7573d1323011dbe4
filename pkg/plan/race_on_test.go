//go:build race

package plan

// raceFactor is how many times slower the race detector makes a pass.
const raceFactor = 15
