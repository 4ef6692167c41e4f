package experiment

import (
	"sync"

	"hawthornway/cluster"
)

// balancer stands for the platform's balancer before the hosts.
type balancer struct {
	addresses []string

	mu     sync.Mutex
	avoids map[int]bool
}

func newBalancer(d cluster.Deployment) *balancer {
	b := &balancer{avoids: make(map[int]bool)}
	for _, host := range d.Hosts {
		b.addresses = append(b.addresses, host.Settings.Listen.Callers)
	}
	return b
}

func (b *balancer) avoid(host int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.avoids[host] = true
}

// address returns the host's address, or that of the next one if it is avoided.
func (b *balancer) address(host int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.avoids[host] {
		host = (host + 1) % len(b.addresses)
	}
	return b.addresses[host]
}
