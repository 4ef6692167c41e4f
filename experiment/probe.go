package experiment

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/loadgen"
	"hawthornway/measure"
	"hawthornway/model"
	"hawthornway/team"
	"hawthornway/workload"
)

// Parameters of the probe requests.
const (
	probeTokens           = 8
	probePrompt           = "please say when the escort meets the guardian at the gate"
	firstAnswerTimeout    = 20 * time.Second
	firstAnswerRetryDelay = 200 * time.Millisecond
)

// probe measures the latency added by a host. It sends pairs of the same request
// directly to an engine that has loaded the model and through the first host, one
// at a time on idle engines.
func (e *Experiment) probe(ctx context.Context, run *measure.Run) error {
	if e.settings.ProbePairs == 0 {
		return nil
	}
	name, teamID := e.probeModel()
	viaHost := loadgen.NewRunner(e.loadSettings())
	defer viaHost.Close()
	if err := e.waitForFirstAnswer(ctx, viaHost, teamID, name); err != nil {
		return err
	}
	settings := e.loadSettings()
	settings.Keys = nil
	address, err := e.engineAddress(name)
	if err != nil {
		return err
	}
	settings.Address = func(int) string { return address }
	direct := loadgen.NewRunner(settings)
	defer direct.Close()
	for i := range e.settings.ProbePairs {
		run.Direct = append(run.Direct, e.probeOnce(ctx, direct, teamID, name, int64(i)))
		run.ViaHost = append(run.ViaHost, e.probeOnce(ctx, viaHost, teamID, name, int64(i)))
	}
	return nil
}

// waitForFirstAnswer repeats a request until the first host serves it, which also
// loads the model.
func (e *Experiment) waitForFirstAnswer(ctx context.Context, viaHost *loadgen.Runner, teamID team.ID, name model.Name) error {
	ctx, cancel := context.WithTimeout(ctx, firstAnswerTimeout)
	defer cancel()
	for {
		result := e.probeOnce(ctx, viaHost, teamID, name, 0)
		if result.Served() {
			return nil
		}
		slog.Warn("experiment: ready host did not serve the probe request", "ending", result.Outcome, "reason", result.Reason, "error", result.Err)
		select {
		case <-time.After(firstAnswerRetryDelay):
		case <-ctx.Done():
			return trace.LimitExceeded("the first host served no probe request within %s", firstAnswerTimeout)
		}
	}
}

// probeModel returns the first model of the first team, and the team.
func (e *Experiment) probeModel() (model.Name, team.ID) {
	t := e.settings.Deployment.Config.Teams[0]
	return t.Models[0], t.Name
}

func (e *Experiment) probeOnce(ctx context.Context, runner *loadgen.Runner, teamID team.ID, name model.Name, seed int64) loadgen.Result {
	work := workload.Completion{Model: name, Prompt: fmt.Sprintf("%s %d", probePrompt, seed), MaxTokens: probeTokens, Seed: seed}
	return runner.Run(ctx, []workload.Arrival{{Team: teamID, Work: work}})[0]
}

// engineAddress returns the address of an engine that has loaded the model.
func (e *Experiment) engineAddress(name model.Name) (string, error) {
	for _, standin := range e.standins.Engines {
		for _, l := range standin.Loads() {
			if l.Model == name {
				return standin.Address, nil
			}
		}
	}
	return "", trace.NotFound("no engine has loaded model %q", name)
}
