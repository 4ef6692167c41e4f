package coordinator

import (
	"hawthornway/fleet"
	"hawthornway/peer"
)

// NameSuccessor tells all hosts which one this host, which is about to resign as the
// coordinator, prefers as its successor. It does nothing if this host doesn't lead.
func (c *Coordinator) NameSuccessor() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading {
		return
	}
	successor, ok := chooseSuccessor(c.mesh.Peers(), c.mayBeWeak)
	if !ok {
		return
	}
	c.log.Info("coordinator: resigning", "successor", successor)
	view := c.newView()
	view.Since, view.Successor = c.version, successor
	c.broadcast(view)
}

// mayBeWeak reports whether a host has little processor time, or has not reported yet
// whether it does.
func (c *Coordinator) mayBeWeak(host fleet.HostID) bool {
	h, ok := c.hosts[host]
	return !ok || h.weak
}

// chooseSuccessor returns the host that was started last, among those that aren't weak if
// there are any. While all hosts are restarted in turn, it is the one that won't be
// restarted soon; each change of the coordinator pauses loads for seconds.
func chooseSuccessor(peers []peer.Peer, weak func(fleet.HostID) bool) (fleet.HostID, bool) {
	var best peer.Peer
	for _, p := range peers {
		better := p.Incarnation > best.Incarnation
		if weak(p.Host) != weak(best.Host) {
			better = weak(best.Host)
		}
		if best.Host == "" || better {
			best = p
		}
	}
	return best.Host, best.Host != ""
}
