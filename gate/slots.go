package gate

// Slots returns the number of requests that one host may have running at a pool,
// given the pool's work, the host's own part of it, and the number of hosts.
//
// While engines have free slots, a host may take all of them. Once they queue, a
// host gives up its part of what waits, but keeps at least its equal part of all
// slots, so that a quiet host's teams are served beside a loud one's.
func Slots(load Work, ownRunning, hosts int) int {
	hosts = max(1, hosts)
	equalShare := (load.Slots + hosts - 1) / hosts
	free := load.Slots - load.Running - load.Queued
	if free >= 0 {
		return max(equalShare, ownRunning+free, 1)
	}
	others := max(load.Running+load.Queued, ownRunning, 1)
	excess := (-free*ownRunning + others - 1) / others
	return max(equalShare, ownRunning-excess, 1)
}
