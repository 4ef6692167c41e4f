package limit

import (
	"math"
	"time"
)

// Bucket is a token bucket whose tokens are lent before they are spent. A lent token
// counts against the capacity until it is spent, so that lending never lets the
// bucket refill further: the tokens in the bucket and those lent are together at most
// the capacity. What is spent in any window of length w is therefore at most rate*w
// plus the capacity, however long after the lending it is spent.
//
// A Bucket is not safe for concurrent use. Times must not decrease; an earlier time
// counts as the last one.
type Bucket struct {
	rate      float64
	capacity  float64
	level     float64
	lent      float64
	updatedAt time.Time
	headroom  headroomHistory
}

// NewBucket returns a new Bucket that is empty at the time now.
func NewBucket(now time.Time, limit BucketLimit) *Bucket {
	return &Bucket{
		rate:      limit.Rate,
		capacity:  float64(limit.Capacity),
		updatedAt: now,
	}
}

// Fill fills the bucket. It is for buckets whose limit nobody has used before.
func (b *Bucket) Fill() { b.level = b.capacity - b.lent }

// Level returns the number of tokens that can be lent now.
func (b *Bucket) Level(now time.Time) MicroTokens {
	b.advance(now)
	return MicroTokens(max(0, math.Floor(b.level)))
}

// Total returns the number of tokens in the bucket and lent.
func (b *Bucket) Total(now time.Time) float64 {
	b.advance(now)
	return b.level + b.lent
}

// Lend takes n tokens out to be spent or returned, and reports whether the bucket had
// them.
func (b *Bucket) Lend(now time.Time, n MicroTokens) bool {
	b.advance(now)
	if float64(n) > b.level {
		return false
	}
	b.level -= float64(n)
	b.lent += float64(n)
	return true
}

// Return puts n lent tokens back.
func (b *Bucket) Return(now time.Time, n MicroTokens) {
	b.advance(now)
	b.lent -= float64(n)
	b.level += float64(n)
	b.clampLevel()
}

// Spend records that n lent tokens are spent. The sequence is for a later Refund.
func (b *Bucket) Spend(now time.Time, n MicroTokens) Sequence {
	b.advance(now)
	sequence := b.headroom.record(b.capacity - b.level - b.lent)
	b.lent -= float64(n)
	return sequence
}

// Refund puts back up to n tokens that were spent at a sequence and not used. It
// accepts only as many as the bucket could have held at every moment since, had they
// never been spent, and returns that number.
func (b *Bucket) Refund(now time.Time, spentAt Sequence, n MicroTokens) MicroTokens {
	b.advance(now)
	b.headroom.record(b.capacity - b.level - b.lent)
	accepted := min(n, MicroTokens(max(0, math.Floor(b.headroom.minSince(spentAt)))))
	b.headroom.consume(spentAt, float64(accepted))
	b.level += float64(accepted)
	return accepted
}

// Resize changes the rate and the capacity. Tokens in the bucket that no longer fit
// are dropped; lent ones stay lent. It returns the number of dropped tokens.
func (b *Bucket) Resize(now time.Time, limit BucketLimit) MicroTokens {
	b.advance(now)
	before := b.level
	b.headroom.record(b.capacity - b.level - b.lent)
	b.rate = limit.Rate
	b.capacity = float64(limit.Capacity)
	b.clampLevel()
	b.headroom.record(b.capacity - b.level - b.lent)
	return MicroTokens(math.Floor(before - b.level))
}

// Credit adds up to n tokens that another bucket dropped, as many as fit.
func (b *Bucket) Credit(now time.Time, n MicroTokens) {
	b.advance(now)
	b.level += float64(n)
	b.clampLevel()
}

// Wait returns the time until the bucket can lend n tokens if nobody else borrows, or
// false if it never can.
func (b *Bucket) Wait(now time.Time, n MicroTokens) (time.Duration, bool) {
	b.advance(now)
	missing := float64(n) - b.level
	switch {
	case missing <= 0:
		return 0, true
	case float64(n) > b.capacity || b.rate <= 0:
		return 0, false
	}
	return seconds(missing / b.rate), true
}

// advance adds the tokens that came in since the last update.
func (b *Bucket) advance(now time.Time) {
	elapsed := now.Sub(b.updatedAt)
	if elapsed <= 0 {
		return
	}
	b.updatedAt = now
	b.level += b.rate * elapsed.Seconds()
	b.clampLevel()
}

func (b *Bucket) clampLevel() {
	b.level = max(0, min(b.level, b.capacity-b.lent))
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Ceil(s * float64(time.Second)))
}
