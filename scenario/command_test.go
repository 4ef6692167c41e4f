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

// pollEvery is the time between two looks at a process that is to get somewhere.
const pollEvery = 50 * time.Millisecond

// eventually runs a program until it succeeds: eventually WITHIN PROGRAM ARG...
// With "-match TEXT" after WITHIN its output must hold TEXT as well.
func eventually(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: eventually WITHIN [-match TEXT] PROGRAM ARG...")
	}
	within, err := time.ParseDuration(args[0])
	ts.Check(err)
	args = args[1:]
	match := ""
	if args[0] == "-match" {
		match, args = args[1], args[2:]
	}
	end := time.Now().Add(within)
	for {
		out, err := runProgram(ts, args)
		if err == nil && strings.Contains(out, match) {
			_, _ = ts.Stdout().Write([]byte(out))
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("%v: not within %v: %v\n%s", args, within, err, out)
		}
		time.Sleep(pollEvery)
	}
}

func runProgram(ts *testscript.TestScript, args []string) (string, error) {
	path := args[0]
	if found, err := exec.LookPath(programs + "/" + path); err == nil {
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

// request makes an HTTP request and prints status and body:
// request METHOD URL [KEY [BODY [HEADER: VALUE]...]]. With "!" the status must
// be 400 or more.
func request(ts *testscript.TestScript, neg bool, args []string) {
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

// signal sends a signal to a background program: signal stop|continue|kill|term NAME.
func signal(ts *testscript.TestScript, neg bool, args []string) {
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
			// A program that is stopped could not be ended with the script.
			ts.Defer(func() { _ = command.Process.Signal(syscall.SIGCONT) })
			return
		}
	}
	ts.Fatalf("no background program %q", args[1])
}

// keep puts a word of the last output into a variable: keep NAME PREFIX takes
// the first word that starts with PREFIX.
func keep(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: keep NAME PREFIX")
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

// pause lets the processes run for a while, since what is to be shown is that
// nothing changes meanwhile: pause DURATION.
func pause(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: pause DURATION")
	}
	wait, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(wait)
}
