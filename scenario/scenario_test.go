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

// scenarioTimeout bounds all scenarios together.
const scenarioTimeout = 3 * time.Minute

// programs is the folder of the programs under test.
var programs string

func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	folder, err := os.MkdirTemp("", "hawthornway-scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	programs = folder
	build := exec.Command("go", "build", "-o", folder+"/", "hawthornway/cmd/hawthornway", "hawthornway/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", out, err)
		return 1
	}
	return m.Run()
}

// scripts counts the scripts, so that each gets a loopback address of its own.
var scripts atomic.Uint32

// address returns a loopback IP number for one script.
func address() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 20+pid%200, (pid/200)%250, 1+scripts.Add(1))
}

// copyBase copies the settings that the scripts share, with their variables
// filled in.
func copyBase(work string, getenv func(string) string) error {
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
			env.Setenv("IP", address())
			if err := copyBase(env.WorkDir, env.Getenv); err != nil {
				return err
			}
			env.Setenv("PATH", programs+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Setenv("HAWTHORNWAY_CLUSTER_SECRET", "a cluster secret for scenarios")
			env.Setenv("HAWTHORNWAY_OPERATOR_TOKEN", "an operator token for scenarios")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"eventually": eventually,
			"chat":       chat,
			"chats":      chats,
			"request":    request,
			"signal":     signal,
			"keep":       keep,
			"pause":      pause,
			"ownerof":    ownerof,
			"decided":    decided,
		},
	})
}
