//go:build race

package key

// defaultSeeds is lower here because the race detector makes a run six times as
// long.
const defaultSeeds = 15
