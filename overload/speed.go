package overload

import (
	"math"
	"time"

	"hawthornway/slowdown"
	"hawthornway/team"
)

// Reading is the reading of prompts by engines that had hardly anything else to do.
type Reading struct {
	Tokens team.Tokens
	// Time is from the sending of requests to their first events, as it would have been at engines
	// where work takes as long as usual.
	Time time.Duration
}

// Add returns both readings together.
func (r Reading) Add(other Reading) Reading {
	return Reading{r.Tokens + other.Tokens, r.Time + other.Time}
}

const (
	// maxQuietRunning is the number of requests up to which an engine has hardly anything else
	// to do than to read a prompt: continuing few streams takes a small part of its time.
	maxQuietRunning = 4
	// minReadingTokens is the size of a prompt from which its reading shows the speed. With less,
	// the time of the connection and of the first step counts for much.
	minReadingTokens = 1000
	// speedDecayTime is the time constant with which older readings count less. The speed is a
	// property of the engines, which changes when these do.
	speedDecayTime = 30 * time.Second
	// minSpeedTokens is the number of tokens from which a speed counts as learned, about ten
	// prompts.
	minSpeedTokens = 15_000
)

// AssumedSpeed is the speed of an engine of which it isn't known. The engines of the platform's users
// reach 19,000 to 38,000 prompt tokens per second.
const AssumedSpeed team.TokensPerSecond = 20_000

// NewReading returns what the reading of a prompt shows, given the load that the engine stated with
// the response, and false if it shows nothing.
func NewReading(prompt team.Tokens, took time.Duration, running, waiting int, stated slowdown.Factor) (Reading, bool) {
	if prompt < minReadingTokens || took <= 0 || running > maxQuietRunning || waiting > 0 || stated <= 0 {
		return Reading{}, false
	}
	return Reading{prompt, time.Duration(float64(took) / float64(stated))}, true
}

// Speedometer learns the speed at which the engines of a pool read prompts where work takes as long
// as usual. It is not safe for concurrent use.
type Speedometer struct {
	tokens, seconds float64
	at              time.Time
}

// Record records a reading.
func (s *Speedometer) Record(r Reading, now time.Time) {
	if r.Tokens <= 0 || r.Time <= 0 {
		return
	}
	if !s.at.IsZero() {
		factor := math.Exp(-max(0, now.Sub(s.at).Seconds()) / speedDecayTime.Seconds())
		s.tokens, s.seconds = s.tokens*factor, s.seconds*factor
	}
	s.tokens, s.seconds, s.at = s.tokens+float64(r.Tokens), s.seconds+r.Time.Seconds(), now
}

// Speed returns the learned speed, and false with an assumed one if there is too little evidence.
func (s *Speedometer) Speed() (speed team.TokensPerSecond, learned bool) {
	if s.tokens < minSpeedTokens || s.seconds <= 0 {
		return AssumedSpeed, false
	}
	return team.TokensPerSecond(s.tokens / s.seconds), true
}
