package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// fleetSize is the size of a benchmark's fleet.
type fleetSize struct{ domains, engines, models, adapters int }

// fleetSizes ends with the size that the system is planned for.
var fleetSizes = []fleetSize{
	{3, 17, 10, 16},
	{3, 170, 100, 160},
	{10, 1700, 1000, 1600},
}

func (f fleetSize) String() string { return fmt.Sprint(f.engines, " engines") }

func (f fleetSize) files() []File {
	kinds := []struct {
		name  string
		count int
		line  func(i int) string
	}{
		{"domains", f.domains, func(i int) string { return fmt.Sprintf("{name: d%d}", i) }},
		{"targets", f.engines, func(i int) string {
			return fmt.Sprintf("{name: e%d, domain: d%d, pool: p, address: \"10.0.%d.%d:80\", memory: 80GiB}", i, i%f.domains, i/200, i%200)
		}},
		{"models", f.models, func(i int) string { return fmt.Sprintf("{name: m%d, pool: p, memory: 16GiB}", i) }},
		{"adapters", f.adapters, func(i int) string { return fmt.Sprintf("{name: a%d, base: m%d, memory: 64MiB}", i, i%f.models) }},
	}
	var files []File
	for _, kind := range kinds {
		var text strings.Builder
		fmt.Fprintf(&text, "%s:\n", kind.name)
		for i := range kind.count {
			fmt.Fprintf(&text, "  - %s\n", kind.line(i))
		}
		files = append(files, File{kind.name + ".yaml", []byte(text.String())})
	}
	return files
}

func BenchmarkMerge(b *testing.B) {
	for _, size := range fleetSizes {
		files := size.files()
		b.Run(size.String(), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				merged, err := Merge(files)
				must.NoError(b, err)
				NewSnapshot(1, merged)
			}
		})
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, size := range fleetSizes {
		merged, err := Merge(size.files())
		must.NoError(b, err)
		s := NewSnapshot(1, merged)
		b.Run(size.String(), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				adapter, _ := s.Adapter("a7")
				if _, ok := s.Model(adapter.Base); !ok {
					b.Fatal("model missing")
				}
				s.RouteFor("/bookings/7")
			}
		})
	}
}
