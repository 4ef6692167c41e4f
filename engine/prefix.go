package engine

import (
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"hawthornway/model"
)

// PrefixRunes is the block size, in runes, of the engines' prefix caches.
const PrefixRunes = 64

// Prefix is the hash of a model's name and of a prompt up to the end of one of
// its blocks.
type Prefix uint64

// Prefixes returns the prefixes at the ends of a prompt's complete blocks,
// shortest first.
func Prefixes(name model.Name, prompt string) []Prefix {
	digest := xxhash.New()
	writeString(digest, string(name))
	writeString(digest, "\x00")
	var prefixes []Prefix
	start, runes := 0, 0
	for at, r := range prompt {
		runes++
		if runes%PrefixRunes != 0 {
			continue
		}
		end := at + utf8.RuneLen(r)
		if r == utf8.RuneError {
			end = at + 1
		}
		writeString(digest, prompt[start:end])
		start = end
		prefixes = append(prefixes, Prefix(digest.Sum64()))
	}
	return prefixes
}

func writeString(digest *xxhash.Digest, text string) {
	// The digest's WriteString never fails.
	_, _ = digest.WriteString(text)
}
