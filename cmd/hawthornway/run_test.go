package main

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"
)

func TestRun(t *testing.T) {
	cases := []struct {
		name   string
		args   []string
		code   exitCode
		stdout string
		stderr string
	}{
		{"version", []string{"version"}, exitOK, "hawthornway ", ""},
		{"version as JSON", []string{"version", "--json"}, exitOK, `"go": `, ""},
		{"help", []string{"version", "--help"}, exitOK, "Prints the version", ""},
		{"no command", nil, exitUsage, "", "hawthornway: Please specify"},
		{"unknown command", []string{"fly"}, exitUsage, "", "hawthornway: Unknown command"},
		{"unknown option", []string{"version", "--fly"}, exitUsage, "", "unknown flag"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := run(t.Context(), tc.args, &stdout, &stderr)
			must.Eq(t, tc.code, code)
			must.StrContains(t, stdout.String(), tc.stdout)
			must.StrContains(t, stderr.String(), tc.stderr)
		})
	}
}
