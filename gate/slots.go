package gate

// Slots returns the number of requests that one host may have running at a pool,
// given the pool's work, the host's own part of it, and the number of hosts.
//
// While engines have free slots, a host may take all of them. Once they queue, a
// host gives up its part of what waits, but keeps at least its equal part of all
// slots, so that a quiet host's teams are served beside a loud one's.
func Slots(work PoolLoad, own, hosts int) int {
	hosts = max(1, hosts)
	equal := (work.Slots + hosts - 1) / hosts
	free := work.Slots - work.Running - work.Queued
	if free >= 0 {
		return max(equal, own+free, 1)
	}
	others := max(work.Running+work.Queued, own, 1)
	excess := (-free*own + others - 1) / others
	return max(equal, own-excess, 1)
}
