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

// platformCutOffAge is the age of the configuration above which the platform
// counts as unreachable. It is longer than the time after which a watch without
// changes ends.
const platformCutOffAge = 45 * time.Second

// operatorHost implements admin.Host for a host.
type operatorHost struct{ host *host }

// Status returns what the host knows of the fleet.
func (o operatorHost) Status(context.Context) (admin.Status, error) {
	h, c := o.host, o.host.components
	reasons := h.ready.reasons()
	return admin.Status{
		Host:     h.self.Host,
		Domain:   h.self.Domain,
		Version:  version(),
		Ready:    len(reasons) == 0,
		NotReady: reasons,
		Config:   configStatus(c.configs),
		Hosts:    o.hosts(),
		Shards:   o.shards(),
		Targets:  o.targets(),
		Replicas: o.replicas(),
		Limits:   []admin.LimitStatus{},
		CutOff:   o.cutOff(),

		Evacuated: c.directory.EvacuatedDomains(),
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

func (o operatorHost) hosts() []admin.HostStatus {
	c := o.host.components
	lastReceived := make(map[fleet.HostID]time.Time)
	for _, peer := range c.links.Peers() {
		lastReceived[peer.Host] = peer.LastReceived
	}
	statuses := []admin.HostStatus{}
	for _, domain := range c.members.Domains() {
		for _, m := range c.members.Members(domain) {
			statuses = append(statuses, o.hostStatus(m, lastReceived))
		}
	}
	return statuses
}

func (o operatorHost) hostStatus(m fleet.Member, lastReceived map[fleet.HostID]time.Time) admin.HostStatus {
	status := admin.HostStatus{
		Host:            m.Host,
		Domain:          m.Domain,
		Incarnation:     m.Incarnation,
		State:           "member",
		SinceReceivedMS: -1,
	}
	if at, ok := lastReceived[m.Host]; ok {
		status.SinceReceivedMS = o.host.options.clock.Since(at).Milliseconds()
	}
	if m.Host == o.host.self.Host {
		status.SinceReceivedMS = 0
	}
	return status
}

func (o operatorHost) shards() []admin.ShardStatus {
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

func (o operatorHost) targets() []admin.TargetStatus {
	c := o.host.components
	statuses := []admin.TargetStatus{}
	for _, t := range c.directory.Config().Targets {
		status := admin.TargetStatus{
			Target: t.Name, Kind: t.Kind, Domain: t.Domain, Pool: t.Pool,
			Slots: t.Slots, Memory: t.Memory, ReportAgeMS: -1,
			Draining: c.hostList.Draining(t.Name),
		}
		if load, ok := c.replicas.Load(t.Name); ok {
			status.Running, status.Queued = load.Running, load.Queued
			status.Draining = status.Draining || load.Draining
			status.ReportAgeMS = o.host.options.clock.Since(load.TakenAt).Milliseconds()
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (o operatorHost) replicas() []admin.ReplicaStatus {
	c := o.host.components
	statuses := []admin.ReplicaStatus{}
	for _, m := range c.directory.Config().Models {
		statuses = append(statuses, readyReplicas(c, m.Name)...)
	}
	for _, a := range c.directory.Config().Adapters {
		statuses = append(statuses, readyReplicas(c, a.Name)...)
	}
	return statuses
}

func readyReplicas(c *components, name model.Name) []admin.ReplicaStatus {
	var statuses []admin.ReplicaStatus
	for _, r := range c.replicas.Ready(name) {
		statuses = append(statuses, admin.ReplicaStatus{
			Target:  r.Target,
			Model:   r.Ref.Name,
			Version: r.Ref.Version,
			State:   "ready",
		})
	}
	return statuses
}

func (o operatorHost) cutOff() []string {
	c := o.host.components
	unreachable := []string{}
	for _, domain := range c.directory.Domains() {
		if domain != o.host.self.Domain && !c.members.Reachable(domain) {
			unreachable = append(unreachable, string(domain))
		}
	}
	if c.configs.Current() != nil && c.configs.Age() > platformCutOffAge {
		unreachable = append(unreachable, "platform")
	}
	return unreachable
}

// Drain starts the graceful shutdown.
func (o operatorHost) Drain(context.Context) (admin.DrainState, error) {
	o.host.requestDrain()
	return admin.DrainState{Draining: true, Requests: o.host.components.callerHandler.InProgress()}, nil
}

// Forget removes a host of this host's own domain that is known to be dead.
func (o operatorHost) Forget(_ context.Context, domain fleet.DomainID, host fleet.HostID) error {
	if domain != o.host.self.Domain {
		return trace.BadParameter("host %q is in domain %q; ask a host of that domain", host, domain)
	}
	o.host.components.members.Forget(host)
	return nil
}

// Burn returns the error budget report merged over all hosts that respond.
func (o operatorHost) Burn(ctx context.Context) (burn.Report, error) {
	return o.host.components.burnCollector.Collect(ctx), nil
}
