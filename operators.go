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

// platformCutOffAge is the age of the configuration above which the platform is
// reported as cut off. It must be longer than the timeout of a watch.
const platformCutOffAge = 45 * time.Second

// operatorAPI implements the operators' API for a host.
type operatorAPI struct{ host *host }

// Status returns the host's view of the fleet.
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

// version returns the version of the main module.
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
	statuses := []admin.HostStatus{}
	for _, domain := range cs.members.Domains() {
		for _, m := range cs.members.Members(domain) {
			statuses = append(statuses, o.hostStatus(m, lastReceived))
		}
	}
	return statuses
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
	statuses := []admin.ShardStatus{}
	for shard := member.Shard(0); shard < member.Shards; shard++ {
		status := admin.ShardStatus{Shard: int(shard)}
		if owner, ok := members.Owner(o.host.self.Domain, shard); ok {
			status.Owner = owner.Host
		}
		if lease, ok := members.Lease(shard, true); ok {
			status.Fence = uint64(lease.Fence)
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (o operatorAPI) targets() []admin.TargetStatus {
	cs := o.host.components
	statuses := []admin.TargetStatus{}
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
		statuses = append(statuses, status)
	}
	return statuses
}

func (o operatorAPI) replicas() []admin.ReplicaStatus {
	cs := o.host.components
	statuses := []admin.ReplicaStatus{}
	for _, m := range cs.directory.Config().Models {
		statuses = append(statuses, readyReplicas(cs, m.Name)...)
	}
	for _, a := range cs.directory.Config().Adapters {
		statuses = append(statuses, readyReplicas(cs, a.Name)...)
	}
	return statuses
}

func readyReplicas(cs *components, name model.Name) []admin.ReplicaStatus {
	var statuses []admin.ReplicaStatus
	for _, r := range cs.replicas.Ready(name) {
		statuses = append(statuses, admin.ReplicaStatus{
			Target:  r.Target,
			Model:   r.Ref.Name,
			Version: r.Ref.Version,
			State:   "ready",
		})
	}
	return statuses
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
	return admin.DrainState{Draining: true, Requests: o.host.components.callerHandler.InProgress()}, nil
}

// Forget removes a dead host from the membership. It must be a host of this
// host's own domain.
func (o operatorAPI) Forget(_ context.Context, domain fleet.DomainID, host fleet.HostID) error {
	if domain != o.host.self.Domain {
		return trace.BadParameter("host %q is in domain %q; ask a host of that domain", host, domain)
	}
	o.host.components.members.Forget(host)
	return nil
}

// Burn returns the service-level report over all hosts that respond.
func (o operatorAPI) Burn(ctx context.Context) (burn.Report, error) {
	return o.host.components.burns.Collect(ctx), nil
}
