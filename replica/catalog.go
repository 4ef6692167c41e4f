package replica

import (
	"time"

	"hawthornway/config"
	"hawthornway/model"
	"hawthornway/target"
	"hawthornway/team"
)

const (
	defaultIdleTimeout = time.Minute
	defaultLoadTime    = 5 * time.Second
)

// Item is a model or an adapter that can be loaded.
type Item struct {
	Ref         model.Ref
	Pool        target.Pool
	Bytes       model.Bytes
	LoadTime    time.Duration
	IdleTimeout time.Duration
	MinReplicas int
	MaxReplicas int
}

// Catalog holds the models, adapters and teams of one configuration.
type Catalog struct {
	items           map[model.Name]*Item
	withMinReplicas []*Item
	teamWeights     map[team.ID]float64
}

// NewCatalog returns the Catalog of a configuration.
func NewCatalog(cfg *config.Config) *Catalog {
	c := &Catalog{items: make(map[model.Name]*Item), teamWeights: make(map[team.ID]float64)}
	for _, m := range cfg.Models {
		item := &Item{
			Ref: model.Ref{Name: m.Name, Version: m.Version}, Pool: m.Pool, Bytes: m.Memory,
			LoadTime: orDefault(m.LoadTime, defaultLoadTime), IdleTimeout: orDefault(m.IdleAfter, defaultIdleTimeout),
			MinReplicas: m.MinReplicas, MaxReplicas: max(1, m.MinReplicas, m.MaxReplicas),
		}
		c.items[m.Name] = item
		if item.MinReplicas > 0 {
			c.withMinReplicas = append(c.withMinReplicas, item)
		}
	}
	for _, a := range cfg.Adapters {
		base, ok := c.items[a.Base]
		if !ok {
			continue
		}
		c.items[a.Name] = &Item{
			Ref: model.Ref{Name: a.Name, Version: a.Version, Base: a.Base}, Pool: base.Pool, Bytes: a.Memory,
			LoadTime: orDefault(a.LoadTime, defaultLoadTime), IdleTimeout: base.IdleTimeout, MaxReplicas: base.MaxReplicas,
		}
	}
	for _, t := range cfg.Teams {
		c.teamWeights[t.Name] = t.Weight
	}
	return c
}

// Item returns the model or adapter with the given name, or nil.
func (c *Catalog) Item(name model.Name) *Item { return c.items[name] }

// TeamWeight returns the weight of a team, or 1 if none is configured.
func (c *Catalog) TeamWeight(id team.ID) float64 {
	if w := c.teamWeights[id]; w > 0 {
		return w
	}
	return 1
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
