package replica

import (
	"time"

	"hawthornway/config"
	"hawthornway/model"
	"hawthornway/target"
	"hawthornway/team"
)

const (
	defaultIdleAfter = time.Minute
	defaultLoadTime  = 5 * time.Second
)

// Item is a model or an adapter that can be loaded.
type Item struct {
	Ref         model.Ref
	Pool        target.Pool
	Bytes       model.Bytes
	LoadTime    time.Duration
	IdleAfter   time.Duration
	MinReplicas int
	MaxReplicas int
}

// Catalog holds the models, adapters and teams of one configuration.
type Catalog struct {
	items   map[model.Name]*Item
	kept    []*Item
	weights map[team.ID]float64
}

// NewCatalog returns a new Catalog of a configuration.
func NewCatalog(cfg *config.Config) *Catalog {
	c := &Catalog{items: make(map[model.Name]*Item), weights: make(map[team.ID]float64)}
	for _, m := range cfg.Models {
		item := &Item{
			Ref: model.Ref{Name: m.Name, Version: m.Version}, Pool: m.Pool, Bytes: m.Memory,
			LoadTime: orDefault(m.LoadTime, defaultLoadTime), IdleAfter: orDefault(m.IdleAfter, defaultIdleAfter),
			MinReplicas: m.MinReplicas, MaxReplicas: max(1, m.MinReplicas, m.MaxReplicas),
		}
		c.items[m.Name] = item
		if item.MinReplicas > 0 {
			c.kept = append(c.kept, item)
		}
	}
	for _, a := range cfg.Adapters {
		base, ok := c.items[a.Base]
		if !ok {
			continue
		}
		c.items[a.Name] = &Item{
			Ref: model.Ref{Name: a.Name, Version: a.Version, Base: a.Base}, Pool: base.Pool, Bytes: a.Memory,
			LoadTime: orDefault(a.LoadTime, defaultLoadTime), IdleAfter: base.IdleAfter, MaxReplicas: base.MaxReplicas,
		}
	}
	for _, t := range cfg.Teams {
		c.weights[t.Name] = t.Weight
	}
	return c
}

// Item returns the model or adapter of a name, or nil.
func (c *Catalog) Item(name model.Name) *Item { return c.items[name] }

// Weight returns the weight of a team, one if it has none.
func (c *Catalog) Weight(id team.ID) float64 {
	if w := c.weights[id]; w > 0 {
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
