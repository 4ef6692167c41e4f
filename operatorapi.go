package hawthornway

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/admin"
	"hawthornway/burn"
	"hawthornway/config"
	"hawthornway/fleet"
	"hawthornway/member"
	"hawthornway/model"
)

// maxConfigAge is the configuration age beyond which the platform counts as cut
// off. It must be longer than a watch.
const maxConfigAge = 45 * time.Second

// operatorAPI implements the host's side of the operator API.
type operatorAPI struct{ host *host }

// Status returns the fleet's state as this host sees it.
func (o operatorAPI) Status(context.Context) (admin.Status, error) {
	h, p := o.host, o.host.components
	missing := h.ready.notReadyReasons()
	return admin.Status{
		Host:     h.self.Host,
		Domain:   h.self.Domain,
		Version:  version(),
		Ready:    len(missing) == 0,
		NotReady: missing,
		Config:   configStatus(p.configs),
		Hosts:    o.hosts(),
		Shards:   o.shards(),
		Targets:  o.targets(),
		Replicas: o.replicas(),
		Limits:   []admin.LimitStatus{},
		CutOff:   o.cutOff(),
	}, nil
}

// version returns the version of the built module.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "development"
	}
	return info.Main.Version
}

func configStatus(configs *config.Store) admin.ConfigStatus {
	snapshot := configs.Current()
	if snapshot == nil {
		return admin.ConfigStatus{}
	}
	return admin.ConfigStatus{Revision: snapshot.Revision(), AgeMS: admin.AgeMS(configs.Age())}
}

func (o operatorAPI) hosts() []admin.HostStatus {
	p := o.host.components
	lastReceived := make(map[fleet.HostID]time.Time)
	for _, peer := range p.links.Peers() {
		lastReceived[peer.Host] = peer.LastReceived
	}
	all := []admin.HostStatus{}
	for _, domain := range p.members.Domains() {
		for _, m := range p.members.Members(domain) {
			all = append(all, o.hostStatus(m, lastReceived))
		}
	}
	return all
}

func (o operatorAPI) hostStatus(m fleet.Member, lastReceived map[fleet.HostID]time.Time) admin.HostStatus {
	status := admin.HostStatus{
		Host:        m.Host,
		Domain:      m.Domain,
		Incarnation: m.Incarnation,
		State:       "member",
		HeardMS:     -1,
	}
	if at, ok := lastReceived[m.Host]; ok {
		status.HeardMS = o.host.options.clock.Since(at).Milliseconds()
	}
	if m.Host == o.host.self.Host {
		status.HeardMS = 0
	}
	return status
}

func (o operatorAPI) shards() []admin.ShardStatus {
	members := o.host.components.members
	all := []admin.ShardStatus{}
	for shard := member.Shard(0); shard < member.Shards; shard++ {
		status := admin.ShardStatus{Shard: int(shard)}
		if owner, ok := members.Owner(o.host.self.Domain, shard); ok {
			status.Owner = owner.Host
		}
		if lease, ok := members.Lease(shard, true); ok {
			status.Fence = uint64(lease.Fence)
		}
		all = append(all, status)
	}
	return all
}

func (o operatorAPI) targets() []admin.TargetStatus {
	p := o.host.components
	all := []admin.TargetStatus{}
	for _, t := range p.directory.Config().Targets {
		status := admin.TargetStatus{
			Target: t.Name, Kind: t.Kind, Domain: t.Domain, Pool: t.Pool,
			Slots: t.Slots, Memory: t.Memory, ReportMS: -1,
			Leaving: p.hostList.Draining(t.Name),
		}
		if load, ok := p.replicas.Load(t.Name); ok {
			status.Running, status.Queued = load.Running, load.Queued
			status.Leaving = status.Leaving || load.Draining
			status.ReportMS = o.host.options.clock.Since(load.TakenAt).Milliseconds()
		}
		all = append(all, status)
	}
	return all
}

func (o operatorAPI) replicas() []admin.ReplicaStatus {
	p := o.host.components
	all := []admin.ReplicaStatus{}
	for _, m := range p.directory.Config().Models {
		all = append(all, readyReplicas(p, m.Name)...)
	}
	for _, a := range p.directory.Config().Adapters {
		all = append(all, readyReplicas(p, a.Name)...)
	}
	return all
}

func readyReplicas(p *components, name model.Name) []admin.ReplicaStatus {
	var all []admin.ReplicaStatus
	for _, r := range p.replicas.Ready(name) {
		all = append(all, admin.ReplicaStatus{
			Target:  r.Target,
			Model:   r.Ref.Name,
			Version: r.Ref.Version,
			State:   "ready",
		})
	}
	return all
}

func (o operatorAPI) cutOff() []string {
	p := o.host.components
	unreachable := []string{}
	for _, domain := range p.directory.Domains() {
		if domain != o.host.self.Domain && !p.members.Reachable(domain) {
			unreachable = append(unreachable, string(domain))
		}
	}
	if p.configs.Current() != nil && p.configs.Age() > maxConfigAge {
		unreachable = append(unreachable, "platform")
	}
	return unreachable
}

// Drain starts the graceful shutdown.
func (o operatorAPI) Drain(context.Context) (admin.DrainState, error) {
	o.host.requestStop()
	return admin.DrainState{Draining: true, Requests: o.host.components.callerHandler.InProgress()}, nil
}

// Forget removes a dead host of this host's own domain from the membership.
func (o operatorAPI) Forget(_ context.Context, domain fleet.DomainID, host fleet.HostID) error {
	if domain != o.host.self.Domain {
		return trace.BadParameter("host %q is in domain %q; ask a host of that domain", host, domain)
	}
	o.host.components.members.Forget(host)
	return nil
}

// Burn returns the error-budget burn over all hosts that respond.
func (o operatorAPI) Burn(ctx context.Context) (burn.Report, error) {
	return o.host.components.burnCollector.Collect(ctx), nil
}
