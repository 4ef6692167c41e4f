//go:build !race

package key

// defaultSeeds is the number of seeds of TestRandomFaults without the flag.
const defaultSeeds = 100
