package peer

import "sync/atomic"

// Counts is the traffic of a host's links since the host started.
type Counts struct {
	SentFrames     int64
	SentBytes      int64
	ReceivedFrames int64
	ReceivedBytes  int64
	// UnmatchedResponses counts responses that arrived too late or match no call.
	UnmatchedResponses int64
	// DroppedNotices counts notices that were dropped because the queue was full.
	DroppedNotices int64
}

type counter struct {
	sentFrames, sentBytes         atomic.Int64
	receivedFrames, receivedBytes atomic.Int64
	unmatchedResponses            atomic.Int64
	droppedNotices                atomic.Int64
}

func (c *counter) sent(size int) {
	c.sentFrames.Add(1)
	c.sentBytes.Add(int64(size))
}

func (c *counter) received(size int) {
	c.receivedFrames.Add(1)
	c.receivedBytes.Add(int64(size))
}

func (c *counter) counts() Counts {
	return Counts{
		SentFrames:         c.sentFrames.Load(),
		SentBytes:          c.sentBytes.Load(),
		ReceivedFrames:     c.receivedFrames.Load(),
		ReceivedBytes:      c.receivedBytes.Load(),
		UnmatchedResponses: c.unmatchedResponses.Load(),
		DroppedNotices:     c.droppedNotices.Load(),
	}
}
