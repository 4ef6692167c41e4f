//go:build race

package key

// mixSeeds is lower here, as the race detector makes a run six times as long.
const mixSeeds = 15
