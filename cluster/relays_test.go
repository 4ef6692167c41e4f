package cluster

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestWithLinksMovesListenersBehindRelays(t *testing.T) {
	d, err := Load("../examples/rafiq")
	must.NoError(t, err)
	linked, links, err := WithLinks(d, t.TempDir())
	must.NoError(t, err)
	must.Eq(t, "127.1.0.1:8100", linked.Standins.KeyValue.Address)
	must.Eq(t, "127.1.1.11:8200", linked.Standins.Engines[0].Address)
	must.Eq(t, "127.1.1.11:7200", d.Standins.Engines[0].Address)
	listen := linked.Hosts[0].Settings.Listen
	must.Eq(t, "127.1.1.1:8002", listen.Peers)
	must.Eq(t, "127.1.1.1:7002", listen.PeersAdvertised)
	must.Eq(t, d.Hosts[0].Settings.Secrets, linked.Hosts[0].Settings.Secrets)
	must.Len(t, 3+9+3+9, links.relays)
}
