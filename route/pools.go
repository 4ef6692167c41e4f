package route

import (
	"hawthornway/config"
	"hawthornway/target"
)

// pool holds the plain services of one pool, by whether they are in this host's
// domain.
type pool struct {
	near []Choice
	far  []Choice
}

// pools holds the plain services of one configuration.
type pools struct {
	config *config.Config
	byPool map[target.Pool]*pool
}

// currentPools returns the pools of the present configuration.
func (r *router) currentPools() *pools {
	cfg := r.config()
	if p := r.pools.Load(); p != nil && p.config == cfg {
		return p
	}
	p := &pools{config: cfg, byPool: make(map[target.Pool]*pool)}
	for _, t := range cfg.Targets {
		of, ok := p.byPool[t.Pool]
		if !ok {
			of = &pool{}
			p.byPool[t.Pool] = of
		}
		c := Choice{Target: t.Name, Address: t.Address, Domain: t.Domain}
		if t.Domain == r.domain {
			of.near = append(of.near, c)
		} else {
			of.far = append(of.far, c)
		}
	}
	r.pools.Store(p)
	return p
}
