package cluster

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"

	"hawthornway/fleet"
	"hawthornway/settings"
	"hawthornway/standin/link"
)

// relayPortOffset is the difference between the port of a relay and the port of
// the server behind it.
const relayPortOffset = 1000

// Relays are the relays in front of a deployment's platform services, targets and
// hosts' peer listeners.
type Relays struct {
	*link.Network
	processes *link.Processes
	relays    []relay
}

type relay struct {
	listen, upstream string
	domain           fleet.DomainID
}

// WithLinks returns the deployment with relays in front of its listeners: each
// listener moves to another port and a relay takes its address. The changed
// settings of the hosts are written to a folder. Relays.Start starts the relays.
func WithLinks(d Deployment, folder string) (Deployment, *Relays, error) {
	processes := link.NewProcesses()
	l := &Relays{Network: link.NewNetwork(processes.Domain), processes: processes}
	s := &d.Standins
	s.KeyValue.Address = l.addRelay(s.KeyValue.Address, "")
	s.Weights.Address = l.addRelay(s.Weights.Address, "")
	s.Hosts.Address = l.addRelay(s.Hosts.Address, "")
	s.Engines = append(s.Engines[:0:0], s.Engines...)
	for i, e := range s.Engines {
		s.Engines[i].Address = l.addRelay(e.Address, e.Domain)
	}
	s.Services = append(s.Services[:0:0], s.Services...)
	for i, service := range s.Services {
		s.Services[i].Address = l.addRelay(service.Address, service.Domain)
	}
	d.Hosts = append(d.Hosts[:0:0], d.Hosts...)
	for i, host := range d.Hosts {
		path := filepath.Join(folder, "linked-"+filepath.Base(host.Path))
		if err := l.rewriteSettings(host, path); err != nil {
			return d, nil, trace.Wrap(err)
		}
		changed, err := settings.Load(path)
		if err != nil {
			return d, nil, trace.Wrap(err)
		}
		d.Hosts[i] = HostFile{Path: path, Settings: changed}
	}
	return d, l, nil
}

// addRelay adds a relay on an address and returns the address of the server
// behind it.
func (l *Relays) addRelay(address string, domain fleet.DomainID) string {
	if address == "" {
		return ""
	}
	listen := netip.MustParseAddrPort(address)
	upstream := netip.AddrPortFrom(listen.Addr(), listen.Port()+relayPortOffset).String()
	l.relays = append(l.relays, relay{listen: address, upstream: upstream, domain: domain})
	return upstream
}

// rewriteSettings writes the settings of a host with its peer listener behind a
// relay.
func (l *Relays) rewriteSettings(host HostFile, path string) error {
	data, err := os.ReadFile(host.Path)
	if err != nil {
		return err
	}
	var document map[string]any
	if err := yaml.Unmarshal(data, &document); err != nil {
		return err
	}
	listen, isMap := document["listen"].(map[string]any)
	if !isMap {
		return fmt.Errorf("%s: the settings have no listen section", host.Path)
	}
	listen["peers-advertised"] = host.Settings.Listen.Peers
	listen["peers"] = l.addRelay(host.Settings.Listen.Peers, host.Settings.Domain)
	changed, err := yaml.Marshal(document)
	if err != nil {
		return err
	}
	return os.WriteFile(path, changed, 0o600)
}

// Start starts the relays. They run until the context ends.
func (l *Relays) Start(ctx context.Context) error {
	for _, r := range l.relays {
		if _, err := l.Relay(ctx, r.listen, r.upstream, r.domain); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// AddProcess assigns a host's process to its domain.
func (l *Relays) AddProcess(pid int, domain fleet.DomainID) { l.processes.Add(pid, domain) }
