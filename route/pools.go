package route

import (
	"hawthornway/config"
	"hawthornway/target"
)

// pool holds the plain services of one pool, split by whether they are in this
// host's domain.
type pool struct {
	local  []Choice
	remote []Choice
}

// poolIndex holds the plain services of one configuration, by pool.
type poolIndex struct {
	config *config.Config
	byPool map[target.Pool]*pool
}

// currentPools returns the pools of the current configuration.
func (r *router) currentPools() *poolIndex {
	cfg := r.config()
	if p := r.pools.Load(); p != nil && p.config == cfg {
		return p
	}
	p := &poolIndex{config: cfg, byPool: make(map[target.Pool]*pool)}
	for _, t := range cfg.Targets {
		entry, ok := p.byPool[t.Pool]
		if !ok {
			entry = &pool{}
			p.byPool[t.Pool] = entry
		}
		c := Choice{Target: t.Name, Address: t.Address, Domain: t.Domain}
		if t.Domain == r.domain {
			entry.local = append(entry.local, c)
		} else {
			entry.remote = append(entry.remote, c)
		}
	}
	r.pools.Store(p)
	return p
}
