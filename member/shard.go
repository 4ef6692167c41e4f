package member

import "github.com/cespare/xxhash/v2"

// Shard identifies one part of a failure domain's work. Teams, engine groups and
// claims hash to shards.
type Shard uint8

// Shards is the number of shards of a failure domain.
const Shards = 16

// ShardOf returns the shard of a key.
func ShardOf(key string) Shard {
	return Shard(xxhash.Sum64String(key) % Shards)
}
