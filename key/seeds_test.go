//go:build !race

package key

// mixSeeds is the number of seeds of the random mix unless the flag says so.
const mixSeeds = 100
