package settings

import (
	"os"

	"github.com/gravitational/trace"

	"hawthornway/document"
)

// The environment variables that take precedence over the file.
const (
	EnvironmentClusterSecret = "HAWTHORNWAY_CLUSTER_SECRET"
	EnvironmentOperatorToken = "HAWTHORNWAY_OPERATOR_TOKEN"
)

// Load reads and validates the settings in a file. Secrets in the environment
// take precedence over those in the file. If the settings are invalid, the error
// unwraps to a document.Problems that lists all problems.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	return Parse(path, data, os.Getenv)
}

// Parse decodes and validates the settings in data. It reads environment
// variables through getenv.
func Parse(name string, data []byte, getenv func(string) string) (Settings, error) {
	s := Default()
	doc, problems := document.Decode(name, data, &s)
	override(&s.Secrets.Cluster, getenv(EnvironmentClusterSecret))
	override(&s.Secrets.OperatorToken, getenv(EnvironmentOperatorToken))
	c := &checker{doc: doc, problems: problems}
	c.settings(s)
	if err := c.problems.Err(); err != nil {
		return Settings{}, trace.Wrap(err)
	}
	return s, nil
}

func override(secret *Secret, value string) {
	if value != "" {
		*secret = Secret(value)
	}
}
