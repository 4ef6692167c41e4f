package limit

import "sort"

// Sequence numbers the moments at which the headroom of a bucket was recorded.
type Sequence uint64

// maxHeadroomSamples limits the headroom history of a bucket. Once it is full, samples
// are merged, and refunds of old charges may be smaller than necessary.
const maxHeadroomSamples = 256

// headroomHistory records the headroom of a bucket, which is how many more tokens it
// could have held. For each sequence it knows the minimum headroom since then.
type headroomHistory struct {
	lastSequence Sequence
	// samples increase in both sequence and headroom. A sample holds the minimum
	// headroom since its sequence, and since every earlier sequence that comes after
	// the previous sample's.
	samples []headroomSample
	// ignoreHistory bounds refunds by the current headroom alone. Only mutation tests
	// set it.
	ignoreHistory bool
}

type headroomSample struct {
	sequence Sequence
	headroom float64
}

// record records the current headroom, and returns the sequence of the moment after
// it.
func (h *headroomHistory) record(headroom float64) Sequence {
	for n := len(h.samples); n > 0 && h.samples[n-1].headroom >= headroom; n-- {
		h.samples = h.samples[:n-1]
	}
	h.lastSequence++
	h.samples = append(h.samples, headroomSample{sequence: h.lastSequence, headroom: headroom})
	if len(h.samples) > maxHeadroomSamples {
		h.compactOldest()
	}
	return h.lastSequence + 1
}

// compactOldest merges the older half of the samples in pairs, each of which keeps the
// lower headroom.
func (h *headroomHistory) compactOldest() {
	merged := h.samples[:0]
	half := len(h.samples) / 2
	for i := 0; i+1 < half; i += 2 {
		merged = append(merged, headroomSample{sequence: h.samples[i+1].sequence, headroom: h.samples[i].headroom})
	}
	h.samples = append(merged, h.samples[half-half%2:]...)
}

// minSince returns the minimum headroom since a sequence.
func (h *headroomHistory) minSince(since Sequence) float64 {
	if h.ignoreHistory {
		return h.samples[len(h.samples)-1].headroom
	}
	i := h.search(since)
	if i == len(h.samples) {
		return 0
	}
	return h.samples[i].headroom
}

// consume records that n tokens that were spent at a sequence have been refunded: the
// bucket counts as having held n more tokens ever since.
func (h *headroomHistory) consume(since Sequence, n float64) {
	first := h.search(since)
	for i := first; i < len(h.samples); i++ {
		h.samples[i].headroom -= n
	}
	if first == len(h.samples) || h.ignoreHistory {
		return
	}
	from := first
	for from > 0 && h.samples[from-1].headroom >= h.samples[first].headroom {
		from--
	}
	h.samples = append(h.samples[:from], h.samples[first:]...)
}

// search returns the index of the first sample at or after a sequence.
func (h *headroomHistory) search(since Sequence) int {
	return sort.Search(len(h.samples), func(i int) bool { return h.samples[i].sequence >= since })
}
