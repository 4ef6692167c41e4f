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

// bootstrapTimeout bounds the writing of the configuration and the keys.
const bootstrapTimeout = 10 * time.Second

// bootstrap writes the configuration and a key for each team to the key-value
// service, before any host runs.
func bootstrap(ctx context.Context, store keyvalue.Store, d Deployment) (map[team.ID]string, error) {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	submission := config.Submission{Files: d.Files, Change: "bootstrap", Author: "cluster"}
	if _, err := config.NewStore(store, alone{}).Apply(ctx, submission); err != nil {
		return nil, trace.Wrap(err)
	}
	keys := make(map[team.ID]string)
	var grants []key.Grant
	for _, t := range d.Config.Teams {
		text := key.Generate()
		keys[t.Name] = text.Reveal()
		grants = append(grants, key.Grant{Hash: text.Hash(), ID: key.NewID(text.Hash()), Team: t.Name})
	}
	err := key.NewStore(store, alone{}, noDirectory{}).Grant(ctx, grants)
	return keys, trace.Wrap(err)
}

// alone is the mesh of a process without peers.
type alone struct{}

var _ peer.Mesh = alone{}

// Self returns no member.
func (alone) Self() fleet.Member { return fleet.Member{} }

// Handle drops the handler, since no peer calls.
func (alone) Handle(peer.Kind, peer.Handler) {}

// Call fails with peer.ErrNotSent.
func (alone) Call(context.Context, fleet.HostID, peer.Kind, any, any) error { return peer.ErrNotSent }

// Notify fails with peer.ErrNotSent.
func (alone) Notify(fleet.HostID, peer.Kind, any) error { return peer.ErrNotSent }

// Peers returns none.
func (alone) Peers() []peer.Peer { return nil }

// noDirectory knows no domains and hosts.
type noDirectory struct{}

// Domains returns none.
func (noDirectory) Domains() []fleet.DomainID { return nil }

// Hosts returns none.
func (noDirectory) Hosts() []fleet.HostID { return nil }

// WhenCutOff returns the default.
func (noDirectory) WhenCutOff(team.ID) config.CutOffPolicy { return config.CutOffRefuse }
