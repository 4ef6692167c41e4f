package cluster

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/config"
	"hawthornway/fleet"
	"hawthornway/key"
	"hawthornway/keyvalue"
	"hawthornway/peer"
	"hawthornway/team"
)

// bootstrapTimeout limits the time to write the configuration and the keys.
const bootstrapTimeout = 10 * time.Second

// bootstrap writes the configuration and one key for each team to the key-value
// service, before any host is started. It returns the keys.
func bootstrap(ctx context.Context, store keyvalue.Store, d Deployment) (map[team.ID]string, error) {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	submission := config.Submission{Files: d.Files, Change: "bootstrap", Author: "cluster"}
	if _, err := config.NewStore(store, isolatedMesh{}).Apply(ctx, submission); err != nil {
		return nil, trace.Wrap(err)
	}
	keys := make(map[team.ID]string)
	var grants []key.Grant
	for _, t := range d.Config.Teams {
		secret := key.Generate()
		keys[t.Name] = secret.Reveal()
		grants = append(grants, key.Grant{Hash: secret.Hash(), ID: key.NewID(secret.Hash()), Team: t.Name})
	}
	err := key.NewStore(store, isolatedMesh{}, emptyDirectory{}).Grant(ctx, grants)
	return keys, trace.Wrap(err)
}

// isolatedMesh is a peer.Mesh without peers.
type isolatedMesh struct{}

var _ peer.Mesh = isolatedMesh{}

// Self returns an empty member.
func (isolatedMesh) Self() fleet.Member { return fleet.Member{} }

// Handle ignores the handler, since there are no peers to call it.
func (isolatedMesh) Handle(peer.Kind, peer.Handler) {}

// Call always fails with peer.ErrNotSent.
func (isolatedMesh) Call(context.Context, fleet.HostID, peer.Kind, any, any) error {
	return peer.ErrNotSent
}

// Notify always fails with peer.ErrNotSent.
func (isolatedMesh) Notify(fleet.HostID, peer.Kind, any) error { return peer.ErrNotSent }

// Peers returns none.
func (isolatedMesh) Peers() []peer.Peer { return nil }

// emptyDirectory is a directory without domains and hosts.
type emptyDirectory struct{}

// Domains returns none.
func (emptyDirectory) Domains() []fleet.DomainID { return nil }

// Hosts returns none.
func (emptyDirectory) Hosts() []fleet.HostID { return nil }

// WhenCutOff returns the default policy.
func (emptyDirectory) WhenCutOff(team.ID) config.CutOffPolicy { return config.CutOffRefuse }
