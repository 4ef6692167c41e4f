package member

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestShardOfIsStable(t *testing.T) {
	cases := []struct {
		key   string
		shard Shard
	}{
		{"", 9},
		{"a", 11},
		{"team/mostrador", 2},
	}
	for _, c := range cases {
		must.Eq(t, c.shard, ShardOf(c.key), must.Sprintf("key %q", c.key))
	}
}
