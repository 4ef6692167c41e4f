package experiment

import (
	"bytes"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/cluster"
	"hawthornway/measure"
	"hawthornway/workload"
)

// writeDeployment copies a deployment directory and replaces NET with a loopback
// prefix. The prefix is derived from a port that the test keeps open, so that
// concurrent processes don't use the same addresses.
func writeDeployment(t *testing.T, from string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	port := listener.Addr().(*net.TCPAddr).Port
	prefix := fmt.Sprintf("127.%d.%d", port>>8, port&0xff)
	to := t.TempDir()
	must.NoError(t, os.CopyFS(to, os.DirFS(from)))
	paths, err := fs.Glob(os.DirFS(to), "*.yaml")
	must.NoError(t, err)
	nested, err := fs.Glob(os.DirFS(to), "*/*.yaml")
	must.NoError(t, err)
	for _, path := range append(paths, nested...) {
		path = filepath.Join(to, path)
		text, err := os.ReadFile(path)
		must.NoError(t, err)
		must.NoError(t, os.WriteFile(path, bytes.ReplaceAll(text, []byte("NET"), []byte(prefix)), 0o600))
	}
	return to
}

func TestRunBaseline(t *testing.T) {
	d, err := cluster.Load(writeDeployment(t, "testdata/tiny"))
	must.NoError(t, err)
	traffic := workload.DefaultSettings()
	traffic.Duration = 600 * time.Millisecond
	traffic.Load = 1
	run, err := Run(t.Context(), Settings{
		Deployment: d,
		Case:       CaseHostKilled,
		System:     SystemBaseline,
		Workload:   traffic,
		Deadline:   5 * time.Second,
		ProbePairs: 1,
	})
	must.NoError(t, err)
	report := measure.NewReport(run)
	must.Positive(t, report.Outcomes["served"])
	must.Len(t, 1, run.Direct)
	must.True(t, run.Direct[0].Tokens > 0)
	must.Eq(t, 0, report.Violations.WrongAnswers)
	must.Eq(t, 0, report.Violations.KeysSeen)
	must.Eq(t, map[int]bool{0: true}, run.KilledHosts)
}

func TestBalancerSkipsAvoidedHosts(t *testing.T) {
	b := &balancer{addresses: []string{"a", "b", "c"}, avoided: map[int]bool{}}
	must.Eq(t, "c", b.address(2))
	b.avoid(2)
	must.Eq(t, "a", b.address(2))
}
