// Package team names the teams that call hawthornway and the tokens that they
// are owed.
package team

// ID names one team.
type ID string

// Tokens is a number of prompt or generated tokens.
type Tokens int64

// TokensPerSecond is a rate of tokens.
type TokensPerSecond float64
