package route

import (
	"fmt"
	"testing"

	"hawthornway/config"
	"hawthornway/fleet"
	"hawthornway/replica"
	"hawthornway/retry"
	"hawthornway/target"
)

// BenchmarkPick measures picking a target, starting an attempt and ending it,
// among the replicas of a model and among a pool of plain services, for three
// fleet sizes.
func BenchmarkPick(b *testing.B) {
	for _, size := range []struct{ targets, replicas int }{{9, 2}, {170, 4}, {1700, 16}} {
		f := newFakeReplicas(make([]replica.TargetLoad, size.replicas)...)
		cfg := &config.Config{}
		for i := range size.targets {
			domain := fleet.DomainID(fmt.Sprintf("d%d", i%10))
			cfg.Targets = append(cfg.Targets, config.Target{Name: target.ID(fmt.Sprintf("s%d", i)), Pool: "plain", Domain: domain})
		}
		r := New(WithReplicas(f), WithDomain("d0"), WithConfig(func() *config.Config { return cfg }))
		for _, request := range []Request{{Model: "m"}, {Pool: "plain"}} {
			b.Run(fmt.Sprintf("targets=%d/replicas=%d/model=%t", size.targets, size.replicas, request.Model != ""), func(b *testing.B) {
				b.ReportAllocs()
				for i := range b.N {
					request.Prefix = PrefixHash(i)
					choice, _ := r.Pick(request)
					r.StartAttempt(&choice)
					r.EndAttempt(choice, retry.ResponseReceived{})
				}
			})
		}
	}
}
