package admin

import (
	"net/http"

	"github.com/gravitational/trace"

	"hawthornway/config"
	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/target"
	"hawthornway/team"
)

// Status is what one host knows of the fleet. Ages are in milliseconds.
type Status struct {
	Host    fleet.HostID   `json:"host"`
	Domain  fleet.DomainID `json:"domain"`
	Version string         `json:"version"`
	Ready   bool           `json:"ready"`
	// NotReady lists the reasons why the host is not ready.
	NotReady []string        `json:"not-ready,omitempty"`
	Config   ConfigStatus    `json:"config"`
	Hosts    []HostStatus    `json:"hosts"`
	Shards   []ShardStatus   `json:"shards"`
	Targets  []TargetStatus  `json:"targets"`
	Replicas []ReplicaStatus `json:"replicas"`
	Limits   []LimitStatus   `json:"limits"`
	// CutOff lists what the host can't reach: names of domains, or "platform".
	CutOff []string `json:"cut-off"`
	// Evacuated lists the failure domains whose targets get no requests.
	Evacuated []fleet.DomainID `json:"evacuated"`
}

// ConfigStatus is the current configuration of the host.
type ConfigStatus struct {
	Revision config.Revision `json:"revision"`
	// AgeMS is the time since the host last confirmed that the configuration is
	// current; -1 if it is not known.
	AgeMS int64 `json:"age-ms"`
}

// HostStatus is one member of the fleet.
type HostStatus struct {
	Host        fleet.HostID      `json:"host"`
	Domain      fleet.DomainID    `json:"domain"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	State       string            `json:"state"`
	// SinceReceivedMS is the time since the last message from the host; -1 without
	// a link.
	SinceReceivedMS int64 `json:"heard-ms"`
}

// ShardStatus is one shard of the host's own domain.
type ShardStatus struct {
	Shard int          `json:"shard"`
	Owner fleet.HostID `json:"owner"`
	Fence uint64       `json:"fence"`
}

// TargetStatus is one target as the host sees it.
type TargetStatus struct {
	Target  target.ID      `json:"target"`
	Kind    target.Kind    `json:"kind"`
	Domain  fleet.DomainID `json:"domain"`
	Pool    target.Pool    `json:"pool"`
	Running int            `json:"running"`
	Queued  int            `json:"queued"`
	Slots   int            `json:"slots"`
	Used    model.Bytes    `json:"used"`
	Memory  model.Bytes    `json:"memory"`
	// ReportAgeMS is the age of the last report; -1 without one.
	ReportAgeMS int64 `json:"report-ms"`
	Draining    bool  `json:"leaving"`
}

// ReplicaStatus is one replica of a model or adapter.
type ReplicaStatus struct {
	Target  target.ID     `json:"target"`
	Model   model.Name    `json:"model"`
	Version model.Version `json:"version"`
	State   string        `json:"state"`
	Running int           `json:"running"`
}

// LimitStatus is one domain's share of a team's limit.
type LimitStatus struct {
	Team   team.ID              `json:"team"`
	Domain fleet.DomainID       `json:"domain"`
	Rate   team.TokensPerSecond `json:"rate"`
	Burst  team.Tokens          `json:"burst"`
}

// DrainState is the progress of a graceful shutdown.
type DrainState struct {
	Draining bool `json:"draining"`
	// Requests is the number of requests in progress.
	Requests int `json:"requests"`
}

type wireForget struct {
	Domain fleet.DomainID `json:"domain"`
	Host   fleet.HostID   `json:"host"`
}

func (h *handler) status(r *http.Request) (any, error) {
	status, err := h.Host.Status(r.Context())
	return status, trace.Wrap(err)
}

func (h *handler) drain(r *http.Request) (any, error) {
	h.Log.Info("admin: drain requested", "from", r.RemoteAddr)
	state, err := h.Host.Drain(r.Context())
	return state, trace.Wrap(err)
}

func (h *handler) forget(r *http.Request) (any, error) {
	var wire wireForget
	if err := readJSON(r, maxBodyBytes, &wire); err != nil {
		return nil, err
	}
	if wire.Domain == "" || wire.Host == "" {
		return nil, trace.BadParameter("forget needs a domain and a host")
	}
	h.Log.Info("admin: removing host from its domain", "domain", wire.Domain, "host", wire.Host, "from", r.RemoteAddr)
	return wire, trace.Wrap(h.Host.Forget(r.Context(), wire.Domain, wire.Host))
}

func (h *handler) burn(r *http.Request) (any, error) {
	report, err := h.Host.Burn(r.Context())
	return report, trace.Wrap(err)
}
