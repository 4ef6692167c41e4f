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
	// maxUndividedGroupSize is the largest number of targets of one pool and
	// domain that form a single group.
	maxUndividedGroupSize = 48
	// meanGroupSize is the mean size of the groups of larger pools.
	meanGroupSize = 24
)

// GroupKey names a group of targets whose replicas are decided together.
type GroupKey struct {
	Domain fleet.DomainID
	Pool   target.Pool
	// Index is the number of the group among the Parts groups into which the
	// pool's targets in the domain are divided.
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

// hashedKey is a group key with the hash of its name.
type hashedKey struct {
	key  GroupKey
	hash uint64
}

// layout is the division of one configuration's targets into groups.
type layout struct {
	groups      []GroupKey
	targets     map[GroupKey][]config.Target
	pools       map[target.Pool][]hashedKey
	targetsByID map[target.ID]config.Target
	groupOf     map[target.ID]GroupKey
	catalog     *Catalog
	// evacuated holds the failure domains whose targets get no requests.
	evacuated map[fleet.DomainID]bool
}

// newLayout returns the layout of a configuration.
func newLayout(cfg *config.Config) *layout {
	type domainPool struct {
		domain fleet.DomainID
		pool   target.Pool
	}
	sizes := make(map[domainPool]int)
	for _, t := range cfg.Targets {
		sizes[domainPool{t.Domain, t.Pool}]++
	}
	l := &layout{
		targets:     make(map[GroupKey][]config.Target),
		pools:       make(map[target.Pool][]hashedKey),
		targetsByID: make(map[target.ID]config.Target),
		groupOf:     make(map[target.ID]GroupKey),
		catalog:     NewCatalog(cfg),
		evacuated:   make(map[fleet.DomainID]bool),
	}
	for _, e := range cfg.Evacuations {
		l.evacuated[e.Domain] = true
	}
	for _, t := range cfg.Targets {
		parts := groupParts(sizes[domainPool{t.Domain, t.Pool}])
		index := int(xxhash.Sum64String(string(t.Name)) % uint64(parts))
		key := newGroupKey(t.Domain, t.Pool, index, parts)
		l.targets[key] = append(l.targets[key], t)
		l.targetsByID[t.Name] = t
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

// groupParts returns the number of groups for a number of targets. It is a
// power of two, so that few targets change their group when the pool grows.
func groupParts(targets int) int {
	if targets <= maxUndividedGroupSize {
		return 1
	}
	parts := (targets + meanGroupSize - 1) / meanGroupSize
	return 1 << bits.Len(uint(parts-1))
}

func compareKeys(a, b GroupKey) int {
	return cmp.Or(
		cmp.Compare(a.Domain, b.Domain),
		cmp.Compare(a.Pool, b.Pool),
		cmp.Compare(a.Parts, b.Parts),
		cmp.Compare(a.Index, b.Index),
	)
}

// rank returns the groups of a model's pool in the order in which they are
// asked for a replica of it, by rendezvous hashing. The order is the same at
// every host. An adapter has the order of its base model.
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
		scores = append(scores, scored{&groups[i].key, mixBits(groups[i].hash ^ hash)})
	}
	slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]GroupKey, 0, len(scores))
	for _, s := range scores {
		ranked = append(ranked, *s.key)
	}
	return ranked
}

// mixBits is the 64-bit finalizer of SplitMix64.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// minReplicaModels returns the models whose minimum number of replicas a group
// maintains.
func (l *layout) minReplicaModels(key GroupKey) []model.Name {
	var names []model.Name
	for _, item := range l.catalog.withMinReplicas {
		if ranked := l.rank(item.Ref.Name); len(ranked) > 0 && ranked[0] == key {
			names = append(names, item.Ref.Name)
		}
	}
	return names
}
