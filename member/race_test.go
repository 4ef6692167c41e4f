//go:build race

package member

// defaultSeeds is low under the race detector, which runs many times slower.
const defaultSeeds = 5
