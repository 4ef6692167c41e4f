package engine

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestPrefixes(t *testing.T) {
	block := strings.Repeat("م", PrefixRunes)
	cases := []struct {
		name   string
		prompt string
		count  int
	}{
		{name: "empty", count: 0},
		{name: "part of a block", prompt: block[:len(block)-2], count: 0},
		{name: "one block", prompt: block, count: 1},
		{name: "two blocks and a rest", prompt: block + block + "x", count: 2},
		{name: "invalid bytes count as runes", prompt: strings.Repeat("\xff", PrefixRunes+1), count: 1},
	}
	for _, c := range cases {
		must.Len(t, c.count, Prefixes("m", c.prompt), must.Sprint(c.name))
	}
	must.Eq(t, Prefixes("m", block)[0], Prefixes("m", block+block)[0])
	must.NotEq(t, Prefixes("m", block)[0], Prefixes("n", block)[0])
}
