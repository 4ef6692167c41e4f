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

// fakeHost implements admin.Host and key.Directory. Its fleet has two hosts, but
// only a1 is running.
type fakeHost struct{ key.Directory }

func (fakeHost) Domains() []fleet.DomainID { return []fleet.DomainID{"a"} }
func (fakeHost) Hosts() []fleet.HostID     { return []fleet.HostID{"a1", "a2"} }

func (fakeHost) Status(context.Context) (admin.Status, error) {
	return admin.Status{Host: "a1", Domain: "a", CutOff: []string{"b"}}, nil
}

func (fakeHost) Drain(context.Context) (admin.DrainState, error) {
	return admin.DrainState{Draining: true, Requests: 2}, nil
}

func (fakeHost) Forget(context.Context, fleet.DomainID, fleet.HostID) error { return nil }

func (fakeHost) Burn(context.Context) (burn.Report, error) {
	return burn.Report{Missing: []fleet.HostID{"b1"}}, nil
}

func startHost(t *testing.T) string {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	kv := kvstore.New()
	mesh := peertest.NewNetwork(1).Join(fleet.Member{Host: "a1", Domain: "a"})
	server := httptest.NewServer(admin.NewHandler(admin.Dependencies{
		Configs: config.NewStore(kv, mesh, config.WithLogger(log)),
		Keys:    key.NewStore(kv, mesh, fakeHost{}, key.WithLogger(log)),
		Host:    fakeHost{},
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

func TestOperatorCommands(t *testing.T) {
	t.Setenv(settings.EnvironmentOperatorToken, operatorToken)
	t.Setenv("HAWTHORNWAY_HOST_ADDRESS", startHost(t))
	folder := writeFolder(t, "teams: [{name: rafiq, rate: 5, burst: 10}]")
	changedFolder := writeFolder(t, "teams: [{name: rafiq, rate: 7, burst: 10}]")
	invalidFolder := writeFolder(t, "teams: [{name: rafiq, rate: fast}]")
	domainsFolder := writeFolder(t, "domains: [{name: a}, {name: b}]\nteams: [{name: rafiq, rate: 7, burst: 10}]")
	page := filepath.Join(t.TempDir(), "burn.html")
	cases := []struct {
		name   string
		args   []string
		code   exitCode
		stdout string
		stderr string
	}{
		{"check", []string{"check", folder}, exitOK, "ok: 1 files, 0 models, 1 teams", ""},
		{"check broken", []string{"check", invalidFolder}, exitFailed, "", "teams.yaml:1: teams[0].rate: must be a number"},
		{"check nothing", []string{"check"}, exitUsage, "", "required"},
		{"check a missing folder", []string{"check", folder + "x"}, exitFailed, "", "no such file"},
		{"apply broken", []string{"apply", invalidFolder}, exitFailed, "", "must be a number"},
		{"apply", []string{"apply", folder, "--author", "lina"}, exitOK, "accepted: revision 1, 1 files changed", ""},
		{"apply again from the saved revision", []string{"apply", folder}, exitOK, "accepted: revision 2, 0 files changed", ""},
		{"diff", []string{"diff", changedFolder}, exitOK, `changed teams "rafiq" rate: 5 -> 7`, ""},
		{"conflict", []string{"apply", changedFolder}, exitConflict, "", "teams.yaml: changed by lina in revision 1"},
		{"conflict as JSON", []string{"apply", changedFolder, "--json"}, exitConflict, "", `"author":"lina"`},
		{"apply from a base", []string{"apply", changedFolder, "--base", "2", "--author", "omar"}, exitOK, "accepted: revision 3", ""},
		{"history", []string{"history"}, exitOK, "omar", ""},
		{"grant", []string{"key", "grant", "rafiq", "--id", "k1"}, exitOK, "k1 hw_", ""},
		{"grant to nobody", []string{"key", "grant", "nobody"}, exitFailed, "", `team "nobody" does not exist`},
		{"grant an invalid number of keys", []string{"key", "grant", "rafiq", "--count", "0"}, exitUsage, "", "--count"},
		{"list", []string{"key", "list"}, exitOK, "k1  rafiq", ""},
		{"withdraw", []string{"key", "withdraw", "k1"}, exitFailed, "withdrawn on 1 hosts: [a1]", "not confirmed by [a2]"},
		{"withdraw nothing", []string{"key", "withdraw"}, exitUsage, "", "required"},
		{"withdraw unknown", []string{"key", "withdraw", "k9"}, exitFailed, "", `key "k9" is not known`},
		{"status", []string{"status"}, exitOK, "cut off from: b", ""},
		{"status as JSON", []string{"status", "--json"}, exitOK, `"cut-off": [`, ""},
		{"drain", []string{"drain"}, exitOK, "2 requests still run", ""},
		{"forget", []string{"domain", "forget", "a", "a9"}, exitOK, "a9 is no longer a member of a", ""},
		{"evacuate an unknown domain", []string{"domain", "evacuate", "a"}, exitFailed, "", `domain "a" does not exist`},
		{"apply domains", []string{"apply", domainsFolder, "--base", "3"}, exitOK, "accepted: revision 4", ""},
		{"evacuate", []string{"domain", "evacuate", "a"}, exitOK, "domain a gets no further requests: revision 5", ""},
		{"evacuate again", []string{"domain", "evacuate", "a", "--json"}, exitOK, `"changed": false`, ""},
		{"apply a folder from before", []string{"apply", domainsFolder}, exitConflict, "", `added evacuations "a"`},
		{"restore", []string{"domain", "restore", "a"}, exitOK, "domain a gets requests again: revision 6", ""},
		{"evacuate nothing", []string{"domain", "evacuate"}, exitUsage, "", "required"},
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
