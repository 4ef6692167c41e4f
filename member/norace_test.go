//go:build !race

package member

// defaultSeeds is the number of seeds of each random mix of faults.
const defaultSeeds = 100
