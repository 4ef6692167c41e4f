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

// The requests of a probe.
const (
	probeTokens        = 8
	probePrompt        = "please say when the escort meets the guardian at the gate"
	firstAnswerTimeout = 20 * time.Second
	firstAnswerPause   = 200 * time.Millisecond
)

// probe sends pairs of the same request through the first host and straight to
// the engine that holds the model, one after the other on idle engines.
func (e *Experiment) probe(ctx context.Context, run *measure.Run) error {
	if e.settings.ProbePairs == 0 {
		return nil
	}
	name, owner := e.probeModel()
	through := loadgen.NewRunner(e.loadSettings())
	defer through.Close()
	if err := e.firstAnswer(ctx, through, owner, name); err != nil {
		return err
	}
	settings := e.loadSettings()
	settings.Keys = nil
	address, err := e.holder(name)
	if err != nil {
		return err
	}
	settings.Address = func(int) string { return address }
	direct := loadgen.NewRunner(settings)
	defer direct.Close()
	for i := range e.settings.ProbePairs {
		run.Direct = append(run.Direct, e.probeOnce(ctx, direct, owner, name, int64(i)))
		run.Through = append(run.Through, e.probeOnce(ctx, through, owner, name, int64(i)))
	}
	return nil
}

// firstAnswer repeats a request until the first host serves it.
func (e *Experiment) firstAnswer(ctx context.Context, through *loadgen.Runner, owner team.ID, name model.Name) error {
	ctx, cancel := context.WithTimeout(ctx, firstAnswerTimeout)
	defer cancel()
	for {
		result := e.probeOnce(ctx, through, owner, name, 0)
		if result.Served() {
			return nil
		}
		slog.Warn("experiment: a ready host did not serve", "ending", result.Ending, "reason", result.Reason, "error", result.Err)
		select {
		case <-time.After(firstAnswerPause):
		case <-ctx.Done():
			return trace.LimitExceeded("the first host served no request in %s", firstAnswerTimeout)
		}
	}
}

// probeModel returns the first model of a team, and the team.
func (e *Experiment) probeModel() (model.Name, team.ID) {
	t := e.settings.Deployment.Config.Teams[0]
	return t.Models[0], t.Name
}

func (e *Experiment) probeOnce(ctx context.Context, runner *loadgen.Runner, owner team.ID, name model.Name, seed int64) loadgen.Result {
	work := workload.Completion{Model: name, Prompt: fmt.Sprintf("%s %d", probePrompt, seed), MaxTokens: probeTokens, Seed: seed}
	return runner.Run(ctx, []workload.Arrival{{Team: owner, Work: work}})[0]
}

// holder returns the address of the engine that loaded a model.
func (e *Experiment) holder(name model.Name) (string, error) {
	for _, one := range e.standins.Engines {
		for _, l := range one.Loads() {
			if l.Model == name {
				return one.Address, nil
			}
		}
	}
	return "", trace.NotFound("no engine holds model %q", name)
}
