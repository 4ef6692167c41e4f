package scenario

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// pollInterval is the time between two checks of a condition that a script waits
// for.
const pollInterval = 50 * time.Millisecond

// eventuallyCommand implements eventually TIMEOUT [-match TEXT] PROGRAM ARG... It
// repeats a program until it succeeds and, with -match, its output contains TEXT.
func eventuallyCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: eventually TIMEOUT [-match TEXT] PROGRAM ARG...")
	}
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	args = args[1:]
	match := ""
	if args[0] == "-match" {
		match, args = args[1], args[2:]
	}
	deadline := time.Now().Add(timeout)
	for {
		out, err := runProgram(ts, args)
		if err == nil && strings.Contains(out, match) {
			_, _ = ts.Stdout().Write([]byte(out))
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%v: did not succeed within %v: %v\n%s", args, timeout, err, out)
		}
		time.Sleep(pollInterval)
	}
}

func runProgram(ts *testscript.TestScript, args []string) (string, error) {
	path := args[0]
	if found, err := exec.LookPath(programDir + "/" + path); err == nil {
		path = found
	}
	command := exec.Command(path, args[1:]...)
	command.Dir = ts.MkAbs(".")
	command.Env = append(os.Environ(),
		"HAWTHORNWAY_CLUSTER_SECRET="+ts.Getenv("HAWTHORNWAY_CLUSTER_SECRET"),
		"HAWTHORNWAY_OPERATOR_TOKEN="+ts.Getenv("HAWTHORNWAY_OPERATOR_TOKEN"))
	out, err := command.CombinedOutput()
	return string(out), err
}

// requestCommand implements request METHOD URL [KEY [BODY [HEADER:VALUE]...]]. It
// makes an HTTP request and prints status, headers and body. The status must be
// below 400, or with "!" 400 or above.
func requestCommand(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: request METHOD URL [KEY [BODY [HEADER:VALUE]...]]")
	}
	var body io.Reader
	if len(args) > 3 {
		body = bytes.NewReader([]byte(args[3]))
	}
	r, err := http.NewRequest(args[0], args[1], body)
	ts.Check(err)
	if len(args) > 2 && args[2] != "" {
		r.Header.Set("Authorization", "Bearer "+args[2])
	}
	for _, header := range args[min(4, len(args)):] {
		name, value, _ := strings.Cut(header, ":")
		r.Header.Set(name, strings.TrimSpace(value))
	}
	response, err := http.DefaultClient.Do(r)
	ts.Check(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	ts.Check(err)
	var out bytes.Buffer
	out.WriteString(response.Status + "\n")
	ts.Check(response.Header.Write(&out))
	out.WriteString("\n" + string(text) + "\n")
	_, _ = ts.Stdout().Write(out.Bytes())
	if neg != (response.StatusCode >= http.StatusBadRequest) {
		ts.Fatalf("status %s", response.Status)
	}
}

// signalCommand implements signal stop|continue|kill|term NAME. It sends a signal
// to the first background program whose command line contains NAME.
func signalCommand(ts *testscript.TestScript, neg bool, args []string) {
	signals := map[string]syscall.Signal{
		"stop":     syscall.SIGSTOP,
		"continue": syscall.SIGCONT,
		"kill":     syscall.SIGKILL,
		"term":     syscall.SIGTERM,
	}
	if neg || len(args) != 2 {
		ts.Fatalf("usage: signal stop|continue|kill|term NAME")
	}
	for _, command := range ts.BackgroundCmds() {
		if strings.Contains(strings.Join(command.Args, " "), args[1]) {
			ts.Check(command.Process.Signal(signals[args[0]]))
			// A stopped process can't be terminated at the end of the script, so
			// resume it first.
			ts.Defer(func() { _ = command.Process.Signal(syscall.SIGCONT) })
			return
		}
	}
	ts.Fatalf("no background program %q", args[1])
}

// captureCommand implements capture NAME PREFIX. It sets the variable NAME to the
// first word of the last output that starts with PREFIX.
func captureCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: capture NAME PREFIX")
	}
	for word := range strings.FieldsSeq(ts.ReadFile("stdout")) {
		word = strings.Trim(word, `",`)
		if strings.HasPrefix(word, args[1]) {
			ts.Setenv(args[0], word)
			return
		}
	}
	ts.Fatalf("the last output has no word that starts with %q", args[1])
}

// pauseCommand implements pause DURATION. Scripts use it where the passing of time
// is part of the test, for example to show that nothing expires during an outage.
func pauseCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: pause DURATION")
	}
	wait, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(wait)
}
