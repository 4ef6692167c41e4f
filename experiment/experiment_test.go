package experiment

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/cluster"
	"hawthornway/measure"
	"hawthornway/workload"
)

func TestBaselineRuns(t *testing.T) {
	d, err := cluster.Load("testdata/tiny")
	must.NoError(t, err)
	traffic := workload.DefaultSettings()
	traffic.Length = 600 * time.Millisecond
	traffic.Load = 1
	left, err := Run(t.Context(), Settings{
		Deployment: d,
		Case:       CaseHostKilled,
		System:     SystemBaseline,
		Workload:   traffic,
		Deadline:   5 * time.Second,
		ProbePairs: 1,
	})
	must.NoError(t, err)
	report := measure.NewReport(left)
	must.Positive(t, report.Endings["served"])
	must.Len(t, 1, left.Direct)
	must.True(t, left.Direct[0].Tokens > 0)
	must.Eq(t, 0, report.Promises.WrongAnswers)
	must.Eq(t, 0, report.Promises.KeysSeen)
	must.Eq(t, map[int]bool{0: true}, left.Killed)
}

func TestBalancerAvoidsDeadHosts(t *testing.T) {
	b := &balancer{addresses: []string{"a", "b", "c"}, avoids: map[int]bool{}}
	must.Eq(t, "c", b.address(2))
	b.avoid(2)
	must.Eq(t, "a", b.address(2))
}
