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

// maxConfigAge is the age of the configuration above which the platform counts as
// cut off. It is longer than a watch, which confirms the configuration when it
// ends.
const maxConfigAge = 45 * time.Second

// operatorAPI implements the operators' API for a host.
type operatorAPI struct{ host *host }

// Status returns the host's view of the fleet.
func (o operatorAPI) Status(context.Context) (admin.Status, error) {
	h, p := o.host, o.host.parts
	missing := h.ready.notReady()
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
	now := configs.Current()
	if now == nil {
		return admin.ConfigStatus{}
	}
	return admin.ConfigStatus{Revision: now.Revision(), AgeMS: admin.AgeMS(configs.Age())}
}

func (o operatorAPI) hosts() []admin.HostStatus {
	p := o.host.parts
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
	members := o.host.parts.members
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
	p := o.host.parts
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
	p := o.host.parts
	all := []admin.ReplicaStatus{}
	for _, m := range p.directory.Config().Models {
		all = append(all, readyReplicas(p, m.Name)...)
	}
	for _, a := range p.directory.Config().Adapters {
		all = append(all, readyReplicas(p, a.Name)...)
	}
	return all
}

func readyReplicas(p *parts, name model.Name) []admin.ReplicaStatus {
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
	p := o.host.parts
	cutOff := []string{}
	for _, domain := range p.directory.Domains() {
		if domain != o.host.self.Domain && !p.members.Reachable(domain) {
			cutOff = append(cutOff, string(domain))
		}
	}
	if p.configs.Current() != nil && p.configs.Age() > maxConfigAge {
		cutOff = append(cutOff, "platform")
	}
	return cutOff
}

// Drain starts the graceful stop.
func (o operatorAPI) Drain(context.Context) (admin.DrainState, error) {
	o.host.requestDrain()
	return admin.DrainState{Draining: true, Requests: o.host.parts.callerHandler.InProgress()}, nil
}

// Forget removes a host of this host's own domain that is known to be dead.
func (o operatorAPI) Forget(_ context.Context, domain fleet.DomainID, host fleet.HostID) error {
	if domain != o.host.self.Domain {
		return trace.BadParameter("host %q is in domain %q; ask a host of that domain", host, domain)
	}
	o.host.parts.members.Forget(host)
	return nil
}

// Burn returns the service-level report over all hosts that respond.
func (o operatorAPI) Burn(ctx context.Context) (burn.Report, error) {
	return o.host.parts.burns.Collect(ctx), nil
}
