package limit

import "hawthornway/team"

// MicroTokens is a number of millionths of a token. Since shares are in millionths too,
// the parts of a burst are whole numbers that add up to the burst.
type MicroTokens int64

const microsPerToken = 1_000_000

func toMicroTokens(n team.Tokens) MicroTokens { return MicroTokens(n) * microsPerToken }

// BucketLimit is the rate and capacity of one bucket: a failure domain's part of a
// team's limit.
type BucketLimit struct {
	// Rate is in millionths of a token per second.
	Rate     float64
	Capacity MicroTokens
}
