package placement

import (
	"slices"

	"hawthornway/catalog"
	"hawthornway/model"
)

// HostMemory is an engine's cache of weights in its host memory, with the least recently
// used model first. Loading and unloading a model both count as its use: an unload leaves
// the weights in the cache.
type HostMemory []model.Name

// Use returns the cache after the use of a model. The least recently used models are
// evicted while the cache exceeds its capacity; zero means that it has no limit.
func (h HostMemory) Use(name model.Name, models map[model.Name]catalog.Model, capacity model.Bytes) HostMemory {
	used := slices.DeleteFunc(slices.Clone(h), func(n model.Name) bool { return n == name })
	used = append(used, name)
	if capacity == 0 {
		return used
	}
	size := model.Bytes(0)
	for _, n := range used {
		size += models[n].Size
	}
	for size > capacity && len(used) > 0 {
		size -= models[used[0]].Size
		used = used[1:]
	}
	return used
}

// Merge returns the cache with the contents that the engine reports. It keeps the known
// order, in which models that weren't known come first.
func (h HostMemory) Merge(reported []model.Name) HostMemory {
	var merged HostMemory
	for _, name := range reported {
		if !slices.Contains(h, name) {
			merged = append(merged, name)
		}
	}
	for _, name := range h {
		if slices.Contains(reported, name) {
			merged = append(merged, name)
		}
	}
	return merged
}
