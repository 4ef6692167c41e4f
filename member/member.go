// Package member maintains the membership of failure domains and the ownership of
// their shards. docs/design/ownership.md explains why two hosts never act for
// one shard at the same time.
package member
