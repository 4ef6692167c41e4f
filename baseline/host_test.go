package baseline

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/config"
	"hawthornway/loadgen"
	"hawthornway/model"
	"hawthornway/outcome"
	"hawthornway/standin"
	"hawthornway/target"
	"hawthornway/team"
	"hawthornway/workload"
)

func TestHostLoadsAndRefuses(t *testing.T) {
	settings := standin.DefaultSettings()
	settings.EngineDefaults.Memory = 100
	settings.EngineDefaults.StepTime = time.Millisecond
	settings.Engines = []standin.EngineSettings{{Name: "e1", Address: "127.0.0.1:0"}}
	settings.Services = []standin.ServiceSettings{{Name: "s1", Address: "127.0.0.1:0"}}
	standins, err := standin.Start(t.Context(), settings)
	must.NoError(t, err)
	defer standins.Close()
	c := config.Config{
		Targets: []config.Target{
			{Name: "e1", Kind: target.KindEngine, Pool: "p", Address: standins.Engines["e1"].Address},
			{Name: "s1", Kind: target.KindService, Pool: "q", Address: standins.Services["s1"].Address},
		},
		Models:   []config.Model{{Name: "m", Pool: "p", Memory: 60}, {Name: "n", Pool: "p", Memory: 60}},
		Adapters: []config.Adapter{{Name: "x", Base: "n", Memory: 10}},
		Teams:    []config.Team{{Name: "a", Rate: 10, Burst: 200}},
		Routes:   []config.Route{{Name: "r", Path: "/r", Pool: "q", Cost: 1}, {Name: "empty", Path: "/empty", Pool: "none", Cost: 1}},
	}
	server := httptest.NewServer(New("h1", c, map[string]team.ID{"k": "a"}, 1))
	defer server.Close()
	runner := loadgen.NewRunner(loadgen.Settings{
		Address:    func(int) string { return server.Listener.Addr().String() },
		Keys:       map[team.ID]string{"a": "k"},
		Deadline:   5 * time.Second,
		MeanAnswer: settings.EngineDefaults.MeanAnswer,
	})
	cases := []struct {
		work workload.Work
		want outcome.Reason
	}{
		{work: workload.Completion{Model: "m", Prompt: "hello", MaxTokens: 4}},
		{work: workload.Completion{Model: "x", Prompt: "hello", MaxTokens: 4}},
		{work: workload.ServiceCall{Method: "POST", Path: "/r"}},
		{work: workload.ServiceCall{Method: "POST", Path: "/empty"}, want: outcome.ReasonNoTarget},
		{work: workload.Completion{Model: "m", Prompt: "hello", MaxTokens: 400}, want: outcome.ReasonRate},
	}
	for _, c := range cases {
		result := runner.Run(t.Context(), []workload.Arrival{{Team: "a", Work: c.work}})[0]
		must.Eq(t, c.want, result.Reason)
		must.Eq(t, c.want == "", result.Served())
		must.False(t, result.Wrong)
	}
	must.Eq(t, model.Bytes(100), standins.Engines["e1"].Counts().Memory)
	must.Eq(t, 0, standins.Engines["e1"].Counts().KeysSeen)
}
