package coordinator

import (
	"hawthornway/fleet"
	"hawthornway/peer"
)

// NameSuccessor tells all hosts which one this host, which is about to resign as the
// coordinator, prefers as its successor. It does nothing if this host doesn't lead.
func (c *Coordinator) NameSuccessor() { c.nameSuccessor(func(fleet.HostID) bool { return true }) }

// NameStrongSuccessor does the same, unless only weak hosts could succeed. It reports whether
// it has named one.
func (c *Coordinator) NameStrongSuccessor() bool {
	return c.nameSuccessor(func(host fleet.HostID) bool { return !c.mayBeWeak(host) })
}

func (c *Coordinator) nameSuccessor(allowed func(fleet.HostID) bool) (named bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading {
		return false
	}
	successor, ok := chooseSuccessor(c.mesh.Peers(), c.mayBeWeak)
	if !ok || !allowed(successor) {
		return false
	}
	c.log.Info("coordinator: resigning", "successor", successor)
	view := c.newView()
	view.Since, view.Successor = c.version, successor
	c.broadcast(view)
	return true
}

// mayBeWeak reports whether a host isn't preferred as the coordinator, or has not reported
// yet whether it is.
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
