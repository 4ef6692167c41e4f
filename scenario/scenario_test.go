package scenario

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// scenarioTimeout limits the total duration of all scenarios.
const scenarioTimeout = 3 * time.Minute

// programDir is the directory of the programs under test.
var programDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hawthornway-scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "hawthornway/cmd/hawthornway", "hawthornway/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", out, err)
		return 1
	}
	return m.Run()
}

// scriptCount counts the scripts, so that each gets its own loopback address.
var scriptCount atomic.Uint32

// loopbackAddress returns a loopback IP address for a script, derived from the
// process ID and the number of the script.
func loopbackAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 20+pid%200, (pid/200)%250, 1+scriptCount.Add(1))
}

// copyBaseSettings copies the settings that the scripts share and expands their
// variables.
func copyBaseSettings(work string, getenv func(string) string) error {
	base := filepath.Join("testdata", "base")
	return filepath.WalkDir(base, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(base, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return os.MkdirAll(filepath.Join(work, name), 0o755)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(work, name), []byte(os.Expand(string(text), getenv)), 0o600)
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:      filepath.Join("testdata"),
		Deadline: time.Now().Add(scenarioTimeout),
		Setup: func(env *testscript.Env) error {
			env.Setenv("IP", loopbackAddress())
			if err := copyBaseSettings(env.WorkDir, env.Getenv); err != nil {
				return err
			}
			env.Setenv("PATH", programDir+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Setenv("HAWTHORNWAY_CLUSTER_SECRET", "a cluster secret for scenarios")
			env.Setenv("HAWTHORNWAY_OPERATOR_TOKEN", "an operator token for scenarios")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"eventually":    eventuallyCommand,
			"chat":          chatCommand,
			"chats":         chatsCommand,
			"request":       requestCommand,
			"signal":        signalCommand,
			"capture":       captureCommand,
			"pause":         pauseCommand,
			"owner-of":      ownerOfCommand,
			"wait-decision": waitDecisionCommand,
		},
	})
}
