package gate

// Slots returns the number of requests that one host may have in progress at a
// pool, given that it has ownRunning of them in progress now.
//
// While the engines have free slots, a host may take all of them. Once requests
// queue at the engines, each host gives up its part of the queue, but keeps at
// least an equal share of all slots, so that the teams of a host with little
// traffic are served beside those of a busy host.
func Slots(load PoolLoad, ownRunning, hosts int) int {
	hosts = max(1, hosts)
	equalShare := (load.Slots + hosts - 1) / hosts
	free := load.Slots - load.Running - load.Queued
	if free >= 0 {
		return max(equalShare, ownRunning+free, 1)
	}
	total := max(load.Running+load.Queued, ownRunning, 1)
	excess := (-free*ownRunning + total - 1) / total
	return max(equalShare, ownRunning-excess, 1)
}
