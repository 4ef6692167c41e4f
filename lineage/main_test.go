package lineage_test

import "flag"

// sequences is the number of random sequences that TestVersionsAtRandom plays.
var sequences = flag.Int("sequences", 100, "random sequences to play")
