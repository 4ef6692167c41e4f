package demo

import (
	"context"

	"github.com/gravitational/trace"

	"hawthornway/admin"
	"hawthornway/config"
	"hawthornway/key"
	"hawthornway/settings"
	"hawthornway/team"
)

// operator is a client of the operators' API.
type operator struct{ client *admin.Client }

func newOperator(address string, token settings.Secret) operator {
	return operator{client: admin.NewClient(address, token)}
}

// apply applies a configuration.
func (o operator) apply(ctx context.Context, files []config.File) error {
	_, err := o.client.Apply(ctx, config.Submission{Files: files, Change: "demo-1", Author: "demo"})
	return trace.Wrap(err)
}

// grant creates a key for a team and returns it.
func (o operator) grant(ctx context.Context, teamID team.ID) (string, error) {
	secret := key.Generate()
	grant := key.Grant{Hash: secret.Hash(), ID: key.NewID(secret.Hash()), Team: teamID}
	if err := o.client.Grant(ctx, []key.Grant{grant}); err != nil {
		return "", trace.Wrap(err)
	}
	return secret.Reveal(), nil
}
