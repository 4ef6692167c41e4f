package limit

import "hawthornway/team"

// Micro is a number of millionths of a token. Shares are in millionths, so that
// the parts of a burst are whole numbers of them and add up to the burst.
type Micro int64

const microsPerToken = 1_000_000

func microOf(n team.Tokens) Micro { return Micro(n) * microsPerToken }

// Part is a failure domain's part of a team's limit.
type Part struct {
	// Rate is in millionths of a token a second.
	Rate     float64
	Capacity Micro
}
