package limit

import (
	"math"
	"time"
)

// Bucket is a token bucket whose tokens are lent before they are spent. A lent
// token keeps its place in the bucket until it is spent, so that lending never
// makes room for more: the tokens in the bucket and those lent are together at
// most the capacity. What is spent in any window of length w is therefore at
// most rate*w plus the capacity, however long after the lending it is spent.
//
// A Bucket is not safe for concurrent use. Times may not go backwards; an
// earlier time counts as the last one.
type Bucket struct {
	rate     float64
	capacity float64
	level    float64
	lent     float64
	at       time.Time
	room     room
}

// NewBucket returns a new Bucket that is empty at the time now.
func NewBucket(now time.Time, part Part) *Bucket {
	return &Bucket{
		rate:     part.Rate,
		capacity: float64(part.Capacity),
		at:       now,
	}
}

// Fill fills the bucket. It is for buckets whose tokens nobody spent before.
func (b *Bucket) Fill() { b.level = b.capacity - b.lent }

// Level returns the tokens that can be lent now.
func (b *Bucket) Level(now time.Time) Micro {
	b.advance(now)
	return Micro(max(0, math.Floor(b.level)))
}

// Held returns the tokens in the bucket and those lent.
func (b *Bucket) Held(now time.Time) float64 {
	b.advance(now)
	return b.level + b.lent
}

// Lend takes n tokens out to be spent or returned, and reports whether the
// bucket had them.
func (b *Bucket) Lend(now time.Time, n Micro) bool {
	b.advance(now)
	if float64(n) > b.level {
		return false
	}
	b.level -= float64(n)
	b.lent += float64(n)
	return true
}

// Return puts n lent tokens back.
func (b *Bucket) Return(now time.Time, n Micro) {
	b.advance(now)
	b.lent -= float64(n)
	b.level += float64(n)
	b.clip()
}

// Spend says that n lent tokens are spent. The mark is for a later Refund.
func (b *Bucket) Spend(now time.Time, n Micro) Mark {
	b.advance(now)
	mark := b.room.note(b.capacity - b.level - b.lent)
	b.lent -= float64(n)
	return mark
}

// Refund puts back tokens that were spent at the mark and turned out not to be
// used. It takes only as many as the bucket could have held at every moment
// since the mark, had they never been spent, and returns that number.
func (b *Bucket) Refund(now time.Time, mark Mark, n Micro) Micro {
	b.advance(now)
	b.room.note(b.capacity - b.level - b.lent)
	taken := min(n, Micro(max(0, math.Floor(b.room.least(mark)))))
	b.room.take(mark, float64(taken))
	b.level += float64(taken)
	return taken
}

// Resize changes the rate and the capacity. Tokens in the bucket that no longer
// fit are dropped; lent ones stay lent. It returns the number dropped.
func (b *Bucket) Resize(now time.Time, part Part) Micro {
	b.advance(now)
	before := b.level
	b.room.note(b.capacity - b.level - b.lent)
	b.rate = part.Rate
	b.capacity = float64(part.Capacity)
	b.clip()
	b.room.note(b.capacity - b.level - b.lent)
	return Micro(math.Floor(before - b.level))
}

// Credit adds tokens that another bucket dropped, as far as they fit.
func (b *Bucket) Credit(now time.Time, n Micro) {
	b.advance(now)
	b.level += float64(n)
	b.clip()
}

// Wait returns the time until the bucket can lend n tokens if nobody else
// borrows, and false if it never can.
func (b *Bucket) Wait(now time.Time, n Micro) (time.Duration, bool) {
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

func (b *Bucket) advance(now time.Time) {
	passed := now.Sub(b.at)
	if passed <= 0 {
		return
	}
	b.at = now
	b.level += b.rate * passed.Seconds()
	b.clip()
}

func (b *Bucket) clip() {
	b.level = max(0, min(b.level, b.capacity-b.lent))
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Ceil(s * float64(time.Second)))
}
