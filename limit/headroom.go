package limit

import "sort"

// Mark is a moment in the life of a bucket.
type Mark uint64

// maxRoomNotes bounds the memory of a bucket for refunds. Beyond it, refunds of
// old charges are smaller than they could be.
const maxRoomNotes = 256

// room remembers how much more a bucket could have held at each moment of its
// past: for each mark, the least room since then.
type room struct {
	last Mark
	// notes rise in mark and in room. A note holds the least room since its
	// mark and since all marks before it down to the note before.
	notes []roomNote
	// uncapped takes every refund in full. Only mutation tests set it.
	uncapped bool
}

type roomNote struct {
	mark Mark
	room float64
}

// note records the room at this moment and returns the mark of the moment
// after it.
func (r *room) note(free float64) Mark {
	for n := len(r.notes); n > 0 && r.notes[n-1].room >= free; n-- {
		r.notes = r.notes[:n-1]
	}
	r.last++
	r.notes = append(r.notes, roomNote{mark: r.last, room: free})
	if len(r.notes) > maxRoomNotes {
		r.forgetOldest()
	}
	return r.last + 1
}

// forgetOldest merges the older half of the notes in pairs. The lower room
// stands for both.
func (r *room) forgetOldest() {
	kept := r.notes[:0]
	half := len(r.notes) / 2
	for i := 0; i+1 < half; i += 2 {
		kept = append(kept, roomNote{mark: r.notes[i+1].mark, room: r.notes[i].room})
	}
	r.notes = append(kept, r.notes[half-half%2:]...)
}

// least returns the least room that was noted since the mark.
func (r *room) least(mark Mark) float64 {
	if r.uncapped {
		return r.notes[len(r.notes)-1].room
	}
	i := r.find(mark)
	if i == len(r.notes) {
		return 0
	}
	return r.notes[i].room
}

// take records that n tokens were put back for a charge made at the mark: at
// every moment since then the bucket counts as having held n more.
func (r *room) take(mark Mark, n float64) {
	first := r.find(mark)
	for i := first; i < len(r.notes); i++ {
		r.notes[i].room -= n
	}
	if first == len(r.notes) || r.uncapped {
		return
	}
	from := first
	for from > 0 && r.notes[from-1].room >= r.notes[first].room {
		from--
	}
	r.notes = append(r.notes[:from], r.notes[first:]...)
}

func (r *room) find(mark Mark) int {
	return sort.Search(len(r.notes), func(i int) bool { return r.notes[i].mark >= mark })
}
