package config

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// content is an encoded set of files, split into parts that are stored under
// their hashes.
type content struct {
	hash   Hash
	hashes map[string]Hash
	parts  [][]byte
}

// newContent encodes files in the order of their names.
func newContent(files []File) (content, error) {
	files = slices.Clone(files)
	slices.SortFunc(files, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	data, err := cbor.Marshal(files)
	if err != nil {
		return content{}, trace.Wrap(err)
	}
	c := content{hash: hashOf(data), hashes: make(map[string]Hash, len(files))}
	for _, f := range files {
		c.hashes[f.Name] = hashOf(f.Data)
	}
	c.parts = slices.Collect(slices.Chunk(data, maxPartBytes))
	return c, nil
}

// partHashes returns the hashes of the parts, in order.
func (c content) partHashes() []Hash {
	hashes := make([]Hash, len(c.parts))
	for i, part := range c.parts {
		hashes[i] = hashOf(part)
	}
	return hashes
}

// decodeFiles joins the parts of a content, verifies its hash and decodes the
// files.
func decodeFiles(parts [][]byte, expected Hash) ([]File, error) {
	data := slices.Concat(parts...)
	if got := hashOf(data); got != expected {
		return nil, trace.CompareFailed("content has hash %s, not %s", got, expected)
	}
	var files []File
	err := cbor.Unmarshal(data, &files)
	return files, trace.Wrap(err)
}

// trueKeys returns the sorted keys whose value is true.
func trueKeys(set map[string]bool) []string {
	names := slices.Sorted(maps.Keys(set))
	return slices.DeleteFunc(names, func(name string) bool { return !set[name] })
}
