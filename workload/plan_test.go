package workload

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/config"
	"hawthornway/model"
	"hawthornway/team"
)

func exampleConfig() config.Config {
	return config.Config{
		Models: []config.Model{{Name: "m", MaxOutputTokens: 100}, {Name: "n", MaxOutputTokens: 8}},
		Teams: []config.Team{
			{Name: "big", Rate: 1000, Burst: 6000, Models: []model.Name{"m", "n"}, Routes: []config.RouteName{"r"}},
			{Name: "small", Rate: 100, Burst: 600, Models: []model.Name{"m", "n"}},
		},
		Routes: []config.Route{{Name: "r", Path: "/r", Methods: []string{"POST"}, Cost: 2}},
	}
}

func TestPlanRepeats(t *testing.T) {
	settings := DefaultSettings()
	first := NewPlan(exampleConfig(), settings)
	must.Eq(t, first, NewPlan(exampleConfig(), settings))
	settings.Seed++
	must.NotEq(t, first, NewPlan(exampleConfig(), settings))
}

func TestPlanOffersTheLoad(t *testing.T) {
	settings := DefaultSettings()
	settings.Duration = 10 * time.Minute
	settings.BurstEvery = time.Hour
	offered := map[team.ID]team.Tokens{}
	last := time.Duration(0)
	for _, a := range NewPlan(exampleConfig(), settings) {
		must.LessEq(t, a.At, last)
		last = a.At
		must.Between(t, 0, a.Host, settings.Hosts-1)
		must.LessEq(t, 3000, a.Charge)
		offered[a.Team] += a.Charge
		if work, ok := a.Work.(Completion); ok && work.Model == "n" {
			must.LessEq(t, 8, work.MaxTokens)
		}
	}
	must.InDelta(t, 600*0.6*1000, float64(offered["big"]), 40000)
	must.InDelta(t, 600*4*100, float64(offered["small"]), 25000)
}
