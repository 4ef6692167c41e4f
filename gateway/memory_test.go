package gateway

import (
	"testing"

	"github.com/shoenig/test/must"

	"hawthornway/platform"
)

// Guards against a host with little memory that can't read a page of the store.
func TestStoreHasMemoryForAPage(t *testing.T) {
	for _, limit := range []int64{0, 40e6, 284e6} {
		g := newGateway(platform.Settings{MemoryLimit: limit})
		_, ok := g.memoryBudget(storeMemoryShare, platform.MinStoreMemory).Take(platform.MinStoreMemory)
		must.True(t, ok, must.Sprint("memory limit ", limit))
	}
}
