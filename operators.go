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

// platformCutOffAge is the age of the configuration at which the platform counts
// as cut off. It is longer than a watch waits.
const platformCutOffAge = 45 * time.Second

// operatorAPI is what the operators' API asks of a host.
type operatorAPI struct{ host *host }

// Status returns what the host knows of the fleet.
func (o operatorAPI) Status(context.Context) (admin.Status, error) {
	h, cs := o.host, o.host.components
	missing := h.ready.reasons()
	return admin.Status{
		Host:     h.self.Host,
		Domain:   h.self.Domain,
		Version:  version(),
		Ready:    len(missing) == 0,
		NotReady: missing,
		Config:   configStatus(cs.configs),
		Hosts:    o.hosts(),
		Shards:   o.shards(),
		Targets:  o.targets(),
		Replicas: o.replicas(),
		Limits:   []admin.LimitStatus{},
		CutOff:   o.cutOff(),
	}, nil
}

// version returns the version of the module that was built.
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
	cs := o.host.components
	lastReceived := make(map[fleet.HostID]time.Time)
	for _, peer := range cs.peers.Peers() {
		lastReceived[peer.Host] = peer.LastReceived
	}
	all := []admin.HostStatus{}
	for _, domain := range cs.members.Domains() {
		for _, m := range cs.members.Members(domain) {
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
	cs := o.host.components
	all := []admin.TargetStatus{}
	for _, t := range cs.directory.Config().Targets {
		status := admin.TargetStatus{
			Target: t.Name, Kind: t.Kind, Domain: t.Domain, Pool: t.Pool,
			Slots: t.Slots, Memory: t.Memory, ReportMS: -1,
			Leaving: cs.hostList.Draining(t.Name),
		}
		if load, ok := cs.replicas.Load(t.Name); ok {
			status.Running, status.Queued = load.Running, load.Queued
			status.Leaving = status.Leaving || load.Draining
			status.ReportMS = o.host.options.clock.Since(load.TakenAt).Milliseconds()
		}
		all = append(all, status)
	}
	return all
}

func (o operatorAPI) replicas() []admin.ReplicaStatus {
	cs := o.host.components
	all := []admin.ReplicaStatus{}
	for _, m := range cs.directory.Config().Models {
		all = append(all, readyReplicas(cs, m.Name)...)
	}
	for _, a := range cs.directory.Config().Adapters {
		all = append(all, readyReplicas(cs, a.Name)...)
	}
	return all
}

func readyReplicas(cs *components, name model.Name) []admin.ReplicaStatus {
	var all []admin.ReplicaStatus
	for _, r := range cs.replicas.Ready(name) {
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
	cs := o.host.components
	names := []string{}
	for _, domain := range cs.directory.Domains() {
		if domain != o.host.self.Domain && !cs.members.Reachable(domain) {
			names = append(names, string(domain))
		}
	}
	if cs.configs.Current() != nil && cs.configs.Age() > platformCutOffAge {
		names = append(names, "platform")
	}
	return names
}

// Drain begins the graceful stop.
func (o operatorAPI) Drain(context.Context) (admin.DrainState, error) {
	o.host.requestDrain()
	return admin.DrainState{Draining: true, Requests: o.host.components.front.InProgress()}, nil
}

// Forget removes a host of this host's own domain that is known to be dead.
func (o operatorAPI) Forget(_ context.Context, domain fleet.DomainID, host fleet.HostID) error {
	if domain != o.host.self.Domain {
		return trace.BadParameter("host %q is in domain %q; ask a host of that domain", host, domain)
	}
	o.host.components.members.Forget(host)
	return nil
}

// Burn returns the service-level burn over all hosts that answer.
func (o operatorAPI) Burn(ctx context.Context) (burn.Report, error) {
	return o.host.components.burns.Collect(ctx), nil
}
