package config

import (
	"errors"
	"os"
	"path"
	"slices"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/shoenig/test/must"

	"hawthornway/document"
	"hawthornway/model"
)

func goodFile(t testing.TB) File {
	data, err := os.ReadFile("testdata/good.yaml")
	must.NoError(t, err)
	return File{"50-good.yaml", data}
}

func TestMerge(t *testing.T) {
	override := File{"60-over.yaml", []byte("models: [{name: brief, pool: engines, memory: 8GiB}]\ndomains: [{name: b}]")}
	got, err := Merge([]File{override, goodFile(t)})
	must.NoError(t, err)
	must.NoError(t, Check(got))
	must.Len(t, 2, got.Domains)
	must.EqOp(t, 8<<30, got.Models[0].Memory)
	must.EqOp(t, defaultMaxReplicas, got.Models[0].MaxReplicas)
	must.EqOp(t, CutOffRefuse, got.Teams[0].WhenCutOff)
	before, err := Merge([]File{goodFile(t)})
	must.NoError(t, err)
	must.Eq(t, []Change{
		{Change: Added, Kind: KindDomain, Name: "b"},
		{Changed, KindModel, "brief", []FieldChange{{"memory", "17179869184", "8589934592"}}},
	}, Diff(before, got))
	must.Eq(t, []Change{{Change: Removed, Kind: KindDomain, Name: "b"}}, Diff(got, before)[:1])
}

func TestMergeProblems(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/refused.txtar")
	must.NoError(t, err)
	folders := map[string][]File{}
	for _, f := range archive.Files {
		folder, name := path.Split(f.Name)
		if name != "want" {
			folders[folder] = append(folders[folder], File{name, f.Data})
			continue
		}
		t.Run(folder, func(t *testing.T) {
			_, err := Merge(folders[folder])
			var problems document.Problems
			must.True(t, errors.As(err, &problems))
			must.EqOp(t, strings.TrimSpace(string(f.Data)), problems.Error())
		})
	}
}

func TestCheckNamesEntries(t *testing.T) {
	err := Check(Config{Models: []Model{{Name: "m", Version: "1", Memory: 1, MaxReplicas: 1, MaxOutputTokens: 1, Pool: "p"}}})
	must.EqError(t, err, `models[m].pool: pool "p" has no engines`)
}

func TestSnapshotLookups(t *testing.T) {
	merged, err := Merge([]File{goodFile(t)})
	must.NoError(t, err)
	s := NewSnapshot(3, merged)
	cases := []struct {
		path string
		want RouteName
	}{
		{"/bookings", "bookings"},
		{"/bookings/", "bookings"},
		{"/bookings/7", "bookings"},
		{"/bookings/stock", "stock"},
		{"/bookings/stock/7/x", "stock"},
		{"/bookings-2", ""},
		{"/", ""},
		{"", ""},
	}
	for _, tc := range cases {
		got, _ := s.RouteFor(tc.path)
		must.EqOp(t, tc.want, got.Name, must.Sprint(tc.path))
	}
	adapter, ok := s.Adapter("brief-ar")
	must.True(t, ok)
	must.EqOp(t, model.Name("brief"), adapter.Base)
	must.Len(t, 1, s.Pool("desk"))
}

func FuzzMerge(f *testing.F) {
	f.Add(goodFile(f).Data, []byte("domains: [{name: a}]"))
	f.Add([]byte("routes: [{name: r, path: /a/..}]"), []byte("teams: [{weight: .nan}]"))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		files := []File{{"a.yaml", a}, {"b.yaml", b}}
		got, err := Merge(files)
		var problems document.Problems
		must.True(t, err == nil || errors.As(err, &problems))
		if err == nil {
			must.NoError(t, Check(got))
			slices.Reverse(files)
			again, err := Merge(files)
			must.NoError(t, err)
			must.SliceEmpty(t, Diff(got, again))
		}
	})
}
