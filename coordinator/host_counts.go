package coordinator

import "time"

// HostCounts remembers the sizes of the fleet that coordinators have announced. A new coordinator
// learns of the hosts one by one and announces fewer at first. The zero value has none. It must not
// be used concurrently.
type HostCounts struct {
	// counts are in order of time, and each is smaller than the one before.
	counts []hostCount
}

// hostCount is a number of hosts, and when that number or more was announced last.
type hostCount struct {
	hosts int
	at    time.Time
}

// Record records a number of hosts that was announced.
func (h *HostCounts) Record(hosts int, at time.Time) {
	for n := len(h.counts); n > 0 && h.counts[n-1].hosts <= hosts; n-- {
		h.counts = h.counts[:n-1]
	}
	h.counts = append(h.counts, hostCount{hosts, at})
}

// Largest returns the largest number that was announced since an instant, or the last one if
// none was, or zero if there is none at all.
func (h *HostCounts) Largest(since time.Time) int {
	largest := 0
	for _, c := range h.counts {
		largest = c.hosts
		if !c.at.Before(since) {
			break
		}
	}
	return largest
}
