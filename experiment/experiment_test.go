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

// writeDeployment copies a deployment folder, with loopback addresses that no
// other process uses meanwhile: they follow from a port that the test holds.
func writeDeployment(t *testing.T, from string) string {
	t.Helper()
	held, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = held.Close() })
	port := held.Addr().(*net.TCPAddr).Port
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

func TestBaselineRuns(t *testing.T) {
	d, err := cluster.Load(writeDeployment(t, "testdata/tiny"))
	must.NoError(t, err)
	traffic := workload.DefaultSettings()
	traffic.Duration = 600 * time.Millisecond
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
