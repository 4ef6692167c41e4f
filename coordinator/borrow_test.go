package coordinator_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/boottime"
	"hawthornway/catalog"
	"hawthornway/coordinator"
	"hawthornway/fleet"
	"hawthornway/quota"
	"hawthornway/roster"
	"hawthornway/target"
	"hawthornway/team"
)

// A coordinator that doesn't know a team's limit must not lend the team any number of
// tokens. Another host may know the team from a configuration that the coordinator has yet
// to read.
func TestBorrowUnderUnknownLimit(t *testing.T) {
	limited := catalog.New(catalog.Content{Version: 1, Teams: []catalog.Team{
		{ID: "limited", Limit: &catalog.Limit{Rate: 10, Burst: 10}}, {ID: "unlimited"},
	}})
	for _, tc := range []struct {
		name      string
		catalog   *catalog.Catalog
		team      team.ID
		wantError bool
		want      team.Tokens
	}{
		{"no configuration yet", nil, "limited", true, 0},
		{"team of a newer configuration", limited, "new", false, 0},
		{"team without a limit", limited, "unlimited", false, 5},
		{"team with a limit, at a later start", limited, "limited", false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				log := slog.New(slog.DiscardHandler)
				local := coordinator.New(
					coordinator.WithSelf(fleet.Member{Host: "h"}), coordinator.WithTerms(loneMesh{}), coordinator.WithMesh(loneMesh{}),
					coordinator.WithRoster(roster.New(boottime.SystemClock{})), coordinator.WithCatalogs(func() *catalog.Catalog { return tc.catalog }),
					coordinator.WithEngines(&fakeEngines{}), coordinator.WithLogger(log),
				)
				client := coordinator.NewClient(loneMesh{}, loneMesh{}, local, loneMesh{}, func() coordinator.Usage { return coordinator.Usage{} },
					func(target.ID, int) {}, clockwork.NewRealClock(), boottime.SystemClock{}, log)
				var running sync.WaitGroup
				running.Go(func() { _ = local.Run(ctx) })
				running.Go(func() { _ = client.Run(ctx) })
				time.Sleep(time.Millisecond)
				grant, err := client.Borrow(ctx, tc.team, quota.BorrowRequest{Need: 5})
				must.Eq(t, tc.wantError, err != nil, must.Sprint(err))
				must.Eq(t, tc.want, grant.Tokens)
				must.Eq(t, tc.want > 0 || tc.wantError, grant.Wait == 0)
				cancel()
				running.Wait()
			})
		})
	}
}
