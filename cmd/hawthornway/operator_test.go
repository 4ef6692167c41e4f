package main

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"hawthornway/admin"
	"hawthornway/burn"
	"hawthornway/config"
	"hawthornway/fleet"
	"hawthornway/key"
	"hawthornway/peer/peertest"
	"hawthornway/settings"
	"hawthornway/standin/kvstore"
)

const operatorToken = "operator-token-of-the-test"

// oneHost is a fleet of one host.
type oneHost struct{ key.Directory }

func (oneHost) Domains() []fleet.DomainID { return []fleet.DomainID{"a"} }
func (oneHost) Hosts() []fleet.HostID     { return []fleet.HostID{"a1", "a2"} }

func (oneHost) Status(context.Context) (admin.Status, error) {
	return admin.Status{Host: "a1", Domain: "a", CutOff: []string{"b"}}, nil
}

func (oneHost) Drain(context.Context) (admin.DrainState, error) {
	return admin.DrainState{Draining: true, Requests: 2}, nil
}

func (oneHost) Forget(context.Context, fleet.DomainID, fleet.HostID) error { return nil }

func (oneHost) Burn(context.Context) (burn.Report, error) {
	return burn.Report{Missing: []fleet.HostID{"b1"}}, nil
}

func startHost(t *testing.T) string {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	kv := kvstore.New()
	mesh := peertest.NewNetwork(1).Join(fleet.Member{Host: "a1", Domain: "a"})
	server := httptest.NewServer(admin.NewHandler(admin.Dependencies{
		Configs: config.NewStore(kv, mesh, config.WithLogger(log)),
		Keys:    key.NewStore(kv, mesh, oneHost{}, key.WithLogger(log)),
		Host:    oneHost{},
		Token:   operatorToken,
		Log:     log,
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func writeFolder(t *testing.T, text string) string {
	folder := t.TempDir()
	must.NoError(t, os.WriteFile(filepath.Join(folder, "teams.yaml"), []byte(text), 0o600))
	must.NoError(t, os.WriteFile(filepath.Join(folder, "README.md"), []byte("not YAML: ["), 0o600))
	return folder
}

func TestOperatorsCommands(t *testing.T) {
	t.Setenv(settings.EnvironmentOperatorToken, operatorToken)
	t.Setenv("HAWTHORNWAY_HOST_ADDRESS", startHost(t))
	one := writeFolder(t, "teams: [{name: rafiq, rate: 5, burst: 10}]")
	two := writeFolder(t, "teams: [{name: rafiq, rate: 7, burst: 10}]")
	broken := writeFolder(t, "teams: [{name: rafiq, rate: fast}]")
	page := filepath.Join(t.TempDir(), "burn.html")
	cases := []struct {
		name   string
		args   []string
		code   exitCode
		stdout string
		stderr string
	}{
		{"check", []string{"check", one}, exitOK, "ok: 1 files, 0 models, 1 teams", ""},
		{"check broken", []string{"check", broken}, exitFailed, "", "teams.yaml:1: teams[0].rate: must be a number"},
		{"check nothing", []string{"check"}, exitUsage, "", "required"},
		{"check a missing folder", []string{"check", one + "x"}, exitFailed, "", "no such file"},
		{"apply broken", []string{"apply", broken}, exitFailed, "", "must be a number"},
		{"apply", []string{"apply", one, "--author", "lina"}, exitOK, "accepted: revision 1, 1 files changed", ""},
		{"apply again from the noted revision", []string{"apply", one}, exitOK, "accepted: revision 2, 0 files changed", ""},
		{"diff", []string{"diff", two}, exitOK, `changed teams "rafiq" rate: 5 -> 7`, ""},
		{"conflict", []string{"apply", two}, exitConflict, "", "teams.yaml: changed by lina in revision 1"},
		{"conflict as JSON", []string{"apply", two, "--json"}, exitConflict, "", `"author":"lina"`},
		{"apply from a base", []string{"apply", two, "--base", "2", "--author", "omar"}, exitOK, "accepted: revision 3", ""},
		{"history", []string{"history"}, exitOK, "omar", ""},
		{"grant", []string{"key", "grant", "rafiq", "--id", "k1"}, exitOK, "k1 hw_", ""},
		{"grant to nobody", []string{"key", "grant", "nobody"}, exitFailed, "", `team "nobody" does not exist`},
		{"grant badly", []string{"key", "grant", "rafiq", "--count", "0"}, exitUsage, "", "--count"},
		{"list", []string{"key", "list"}, exitOK, "k1  rafiq", ""},
		{"withdraw", []string{"key", "withdraw", "k1"}, exitFailed, "withdrawn on 1 hosts: [a1]", "not confirmed by [a2]"},
		{"withdraw nothing", []string{"key", "withdraw"}, exitUsage, "", "required"},
		{"withdraw unknown", []string{"key", "withdraw", "k9"}, exitFailed, "", `key "k9" is not known`},
		{"status", []string{"status"}, exitOK, "cut off from: b", ""},
		{"status as JSON", []string{"status", "--json"}, exitOK, `"cut-off": [`, ""},
		{"drain", []string{"drain"}, exitOK, "2 requests still run", ""},
		{"forget", []string{"domain", "forget", "a", "a9"}, exitOK, "a9 is no longer a member of a", ""},
		{"burn", []string{"burn", "--html", page}, exitOK, "without an answer: [b1]", ""},
		{"unreachable", []string{"status", "--host-address", "127.0.0.1:1"}, exitUnreachable, "", "did not answer"},
		{"no token", []string{"status", "--token-file", "/dev/null"}, exitFailed, "", "token is missing or wrong"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := run(t.Context(), tc.args, &stdout, &stderr)
			must.EqOp(t, tc.code, code, must.Sprint(stdout.String(), stderr.String()))
			must.StrContains(t, stdout.String(), tc.stdout)
			must.StrContains(t, stderr.String(), tc.stderr)
		})
	}
	written, err := os.ReadFile(page)
	must.NoError(t, err)
	must.True(t, strings.HasPrefix(string(written), "<!DOCTYPE html>"))
}
