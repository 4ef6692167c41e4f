package catalog_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"hawthornway/catalog"
	"hawthornway/target"
	"hawthornway/team"
)

func ExampleCatalog_Route() {
	c := catalog.New(catalog.Content{Routes: []catalog.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "orders", Host: "a.example", Prefix: "/orders/"},
	}})
	route, ok := c.Route("A.example", "/orders/7")
	fmt.Println(route.Name, ok)
	// Output: orders true
}

func TestRoute(t *testing.T) {
	c := catalog.New(catalog.Content{Routes: []catalog.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	cases := []struct {
		host, path string
		want       catalog.RouteName
	}{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/yy", "short"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/1", ""},
	}
	for _, tc := range cases {
		route, ok := c.Route(tc.host, tc.path)
		must.Eq(t, tc.want, route.Name, must.Sprintf("%s%s", tc.host, tc.path))
		must.Eq(t, tc.want != "", ok)
	}
}

func TestTeamByKey(t *testing.T) {
	c := catalog.New(catalog.Content{Teams: []catalog.Team{
		{ID: "one", Keys: []catalog.Key{"k1", "k2"}},
		{ID: "two", Keys: []catalog.Key{"k3"}},
	}})
	cases := []struct {
		key  catalog.Key
		want team.ID
	}{{"k1", "one"}, {"k2", "one"}, {"k3", "two"}, {"", ""}, {"k", ""}}
	for _, tc := range cases {
		owner, ok := c.TeamByKey(tc.key)
		must.Eq(t, tc.want, owner.ID)
		must.Eq(t, tc.want != "", ok)
	}
}

func TestPoolFor(t *testing.T) {
	split := catalog.Route{Pools: []catalog.WeightedPool{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}}}
	cases := []struct {
		route  catalog.Route
		random float64
		want   target.Pool
	}{
		{split, 0, "a"},
		{split, 0.89, "a"},
		{split, 0.91, "b"},
		{split, 1, "b"},
		{catalog.Route{}, 0.5, ""},
	}
	for _, tc := range cases {
		must.Eq(t, tc.want, tc.route.PoolFor(tc.random))
	}
}

func TestRepeatable(t *testing.T) {
	cases := []struct {
		delivery catalog.Delivery
		want     bool
	}{
		{catalog.Idempotent{}, true},
		{catalog.AtMostOnce{}, false},
		{catalog.Stream{}, false},
		{catalog.Stream{Resumable: true}, true},
	}
	for _, tc := range cases {
		must.Eq(t, tc.want, catalog.Route{Delivery: tc.delivery}.Repeatable())
	}
}
