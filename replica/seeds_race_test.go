//go:build race

package replica

const defaultSeeds = 25
