package experiment

import (
	"sync"

	"hawthornway/cluster"
)

// balancer simulates the platform's load balancer in front of the hosts.
type balancer struct {
	addresses []string

	mu      sync.Mutex
	avoided map[int]bool
}

func newBalancer(d cluster.Deployment) *balancer {
	b := &balancer{avoided: make(map[int]bool)}
	for _, host := range d.Hosts {
		b.addresses = append(b.addresses, host.Settings.Listen.Callers)
	}
	return b
}

// avoid excludes a host from now on.
func (b *balancer) avoid(host int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.avoided[host] = true
}

// address returns the address of the host, or of the next host that is not
// avoided.
func (b *balancer) address(host int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.avoided[host] {
		host = (host + 1) % len(b.addresses)
	}
	return b.addresses[host]
}
