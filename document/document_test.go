package document

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

type inner struct {
	Wait time.Duration `yaml:"wait"`
	Size int64         `yaml:"size"`
	On   bool          `yaml:"on"`
}

type outer struct {
	Name  string  `yaml:"name"`
	Part  float64 `yaml:"part"`
	Items []inner `yaml:"items"`
}

func TestDecode(t *testing.T) {
	var got outer
	doc, problems := Decode("a.yaml", []byte("name: x\npart: 2\nitems:\n  - wait: 3s\n    size: 2MiB\n    on: true\n"), &got)
	must.SliceEmpty(t, problems)
	must.Eq(t, outer{Name: "x", Part: 2, Items: []inner{{Wait: 3 * time.Second, Size: 2 << 20, On: true}}}, got)
	must.Eq(t, 5, doc.Line("items[0].size"))
	must.Eq(t, 4, doc.Line("items[0].missing"))
}

func TestDecodeProblems(t *testing.T) {
	cases := []struct {
		name string
		text string
		want []string
	}{
		{"unknown field", "nme: x", []string{"f:1: nme: is not a known field"}},
		{"all at once", "name: 1\npart: x\nitems: 3\n", []string{
			"f:1: name: must be a string", "f:2: part: must be a number", "f:3: items: must be a list",
		}},
		{"wrong item types", "items:\n  - wait: 3\n    size: 1.5\n    on: perhaps\n", []string{
			`f:2: items[0].wait: must be a duration with a unit, such as "1.5s"`,
			"f:3: items[0].size: must be a whole number", "f:4: items[0].on: must be true or false",
		}},
		{"no value", "name:\n", []string{"f:1: name: has no value"}},
		{"overflow", "items: [{size: 9999999TiB}]", []string{"f:1: items[0].size: must be a whole number"}},
		{"scalar document", "hello", []string{"f:1: must be a mapping"}},
		{"repeated field", "name: a\nname: b\n", []string{`f:2: is not valid YAML: mapping key "name" already defined at [1:1]`}},
		{"alias", "name: &a x\n", []string{"f:1: anchors, aliases and merges are not allowed"}},
		{"tag", "name: !!str x\n", []string{"f:1: tags and directives are not allowed"}},
		{"block text", "name: x\r\nnme: |2-  # y\n  z\n", []string{"f:2: block texts are not allowed; quote the text instead"}},
		{"two documents", "name: a\n---\nname: b\n", []string{"f:3: holds more than one YAML document"}},
		{"deep flow", "name: " + strings.Repeat("[", 1000), []string{"f:1: is nested more than 16 levels deep"}},
		{"deep lists", strings.Repeat("- ", 1000), []string{"f:1: is nested more than 16 levels deep"}},
		{"too large", strings.Repeat("#", MaxBytes+1), []string{"f: has 262145 bytes, more than 262144"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, problems := Decode("f", []byte(tc.text), &outer{})
			must.EqOp(t, strings.Join(tc.want, "\n"), problems.Error())
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("name: x\nitems:\n  - wait: 3s\n    size: 2MiB\n"))
	f.Add([]byte("a: a: a: a: b"))
	f.Add([]byte("? - ? - [{"))
	f.Add([]byte("name: |\n  x\n\ty"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var into outer
		doc, problems := Decode("f", data, &into)
		for _, problem := range problems {
			must.NotEq(t, "", problem.Reason)
		}
		must.Eq(t, "f", doc.Name())
	})
}
