package replica

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hawthornway/config"
	"hawthornway/fleet"
	"hawthornway/member"
	"hawthornway/model"
	"hawthornway/target"
)

const (
	// maxGroup is the number of a pool's engines in a domain up to which they
	// are one group.
	maxGroup = 48
	// meanGroup is the mean size of the groups of larger pools.
	meanGroup = 24
)

// GroupKey names a group of targets that are decided about together.
type GroupKey struct {
	Domain fleet.DomainID
	Pool   target.Pool
	// Index tells the Parts of a large pool apart.
	Index int
	Parts int
	Shard member.Shard
}

// String returns the key as "domain/pool/index-of-parts".
func (k GroupKey) String() string {
	return fmt.Sprintf("%s/%s/%d-of-%d", k.Domain, k.Pool, k.Index, k.Parts)
}

func newGroupKey(domain fleet.DomainID, pool target.Pool, index, parts int) GroupKey {
	k := GroupKey{Domain: domain, Pool: pool, Index: index, Parts: parts}
	k.Shard = member.ShardOf(fmt.Sprintf("replica/%s/%d-of-%d", pool, index, parts))
	return k
}

// hashedKey is a group with the hash of its name.
type hashedKey struct {
	key  GroupKey
	hash uint64
}

// layout is how one configuration divides targets into groups.
type layout struct {
	groups  []GroupKey
	targets map[GroupKey][]config.Target
	pools   map[target.Pool][]hashedKey
	byID    map[target.ID]config.Target
	groupOf map[target.ID]GroupKey
	catalog *Catalog
}

// newLayout returns a new layout of a configuration.
func newLayout(cfg *config.Config) *layout {
	type place struct {
		domain fleet.DomainID
		pool   target.Pool
	}
	sizes := make(map[place]int)
	for _, t := range cfg.Targets {
		sizes[place{t.Domain, t.Pool}]++
	}
	l := &layout{
		targets: make(map[GroupKey][]config.Target),
		pools:   make(map[target.Pool][]hashedKey),
		byID:    make(map[target.ID]config.Target),
		groupOf: make(map[target.ID]GroupKey),
		catalog: NewCatalog(cfg),
	}
	for _, t := range cfg.Targets {
		parts := groupParts(sizes[place{t.Domain, t.Pool}])
		index := int(xxhash.Sum64String(string(t.Name)) % uint64(parts))
		key := newGroupKey(t.Domain, t.Pool, index, parts)
		l.targets[key] = append(l.targets[key], t)
		l.byID[t.Name] = t
		l.groupOf[t.Name] = key
	}
	for key := range l.targets {
		l.groups = append(l.groups, key)
	}
	slices.SortFunc(l.groups, compareKeys)
	for _, key := range l.groups {
		l.pools[key.Pool] = append(l.pools[key.Pool], hashedKey{key, xxhash.Sum64String(key.String())})
	}
	return l
}

// groupParts returns the number of groups of so many engines: a power of two,
// so that few engines change their group when it grows.
func groupParts(engines int) int {
	if engines <= maxGroup {
		return 1
	}
	mean := (engines + meanGroup - 1) / meanGroup
	return 1 << bits.Len(uint(mean-1))
}

func compareKeys(a, b GroupKey) int {
	return cmp.Or(
		cmp.Compare(a.Domain, b.Domain),
		cmp.Compare(a.Pool, b.Pool),
		cmp.Compare(a.Parts, b.Parts),
		cmp.Compare(a.Index, b.Index),
	)
}

// rank returns the groups that a model is asked of, the first one first. It is
// the same at every host. An adapter goes where its model goes.
func (l *layout) rank(name model.Name) []GroupKey {
	item := l.catalog.Item(name)
	if item == nil {
		return nil
	}
	if item.Ref.IsAdapter() {
		name = item.Ref.Base
	}
	type scored struct {
		key   *GroupKey
		score uint64
	}
	hash := xxhash.Sum64String(string(name))
	groups := l.pools[item.Pool]
	scores := make([]scored, 0, len(groups))
	for i := range groups {
		scores = append(scores, scored{&groups[i].key, spread(groups[i].hash ^ hash)})
	}
	slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]GroupKey, 0, len(scores))
	for _, s := range scores {
		ranked = append(ranked, *s.key)
	}
	return ranked
}

// spread mixes the bits of a number.
func spread(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// keeps returns the models whose least number of replicas a group keeps.
func (l *layout) keeps(key GroupKey) []model.Name {
	var names []model.Name
	for _, item := range l.catalog.kept {
		if ranked := l.rank(item.Ref.Name); len(ranked) > 0 && ranked[0] == key {
			names = append(names, item.Ref.Name)
		}
	}
	return names
}
