// Package member keeps the membership of failure domains and the ownership of
// their shards. docs/design/ownership.md argues why two hosts never act for
// one shard at a time.
package member
