package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/shoenig/test/must"

	"hawthornway/document"
)

const validSettings = `host: amm-a1
domain: amm-a
listen:
  callers: 127.0.0.1:7001
  operators: 127.0.0.1:7002
  peers: 127.0.0.1:7003
platform:
  key-value: http://127.0.0.1:7010
secrets:
  cluster: cluster-secret-in-the-file
  operator-token: operator-token-in-the-file
`

func noEnvironment(string) string { return "" }

func TestLoad(t *testing.T) {
	t.Setenv(EnvironmentClusterSecret, "cluster-secret-from-environment")
	path := filepath.Join(t.TempDir(), "host.yaml")
	must.NoError(t, os.WriteFile(path, []byte(validSettings), 0o600))
	got, err := Load(path)
	must.NoError(t, err)
	must.EqOp(t, "amm-a1", got.Host)
	must.EqOp(t, "cluster-secret-from-environment", got.Secrets.Cluster.Reveal())
	must.EqOp(t, "operator-token-in-the-file", got.Secrets.OperatorToken.Reveal())
	must.Eq(t, Default().Limits, got.Limits)
}

func TestInvalidSettings(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/cases.txtar")
	must.NoError(t, err)
	for i := 0; i < len(archive.Files); i += 2 {
		t.Run(archive.Files[i].Name, func(t *testing.T) {
			_, err := Parse("f", archive.Files[i].Data, noEnvironment)
			var problems document.Problems
			must.True(t, errors.As(err, &problems))
			must.EqOp(t, strings.TrimSpace(string(archive.Files[i+1].Data)), problems.Error())
		})
	}
}

func TestSecretsAreNotPrinted(t *testing.T) {
	s, err := Parse("f", []byte(validSettings), noEnvironment)
	must.NoError(t, err)
	var out bytes.Buffer
	encoded, err := json.Marshal(s)
	must.NoError(t, err)
	out.Write(encoded)
	fmt.Fprintf(&out, "%v %+v %#v %s %q", s, s, s, s.Secrets.Cluster, s.Secrets.Cluster)
	slog.New(slog.NewTextHandler(&out, nil)).Info("x", "settings", s, "secret", s.Secrets.Cluster)
	slog.New(slog.NewJSONHandler(&out, nil)).Info("x", "settings", s, "secret", s.Secrets.Cluster)
	must.StrNotContains(t, out.String(), "in-the-file")
}

func TestEmptySecretEqualsNothing(t *testing.T) {
	must.False(t, Secret("").Equal(""))
	must.True(t, Secret("a").Equal("a"))
	must.False(t, Secret("a").Equal("b"))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("limits: {streams: -1}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse("f", data, noEnvironment)
		var problems document.Problems
		must.True(t, err == nil || errors.As(err, &problems))
	})
}
