// Package team defines identifiers of the teams that call hawthornway and the unit
// of their limits.
package team

// ID identifies a team.
type ID string

// Tokens is a count of prompt and generated tokens.
type Tokens int64

// TokensPerSecond is a rate of tokens.
type TokensPerSecond float64
