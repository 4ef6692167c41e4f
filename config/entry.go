package config

// Kind names a list of the configuration, as files write it.
type Kind string

// The kinds of entry.
const (
	KindDomain    Kind = "domains"
	KindTarget    Kind = "targets"
	KindModel     Kind = "models"
	KindAdapter   Kind = "adapters"
	KindTeam      Kind = "teams"
	KindRoute     Kind = "routes"
	KindObjective Kind = "objectives"
)

// entry is one named entry of any kind.
type entry interface{ name() string }

func (d Domain) name() string    { return string(d.Name) }
func (t Target) name() string    { return string(t.Name) }
func (m Model) name() string     { return string(m.Name) }
func (a Adapter) name() string   { return string(a.Name) }
func (t Team) name() string      { return string(t.Name) }
func (r Route) name() string     { return string(r.Name) }
func (o Objective) name() string { return o.Name }

// eachKind is called with the lists of each kind of two configurations.
type eachKind interface {
	kind(kind Kind, a, b []entry)
}

func visitKinds(a, b Config, v eachKind) {
	v.kind(KindDomain, entries(a.Domains), entries(b.Domains))
	v.kind(KindTarget, entries(a.Targets), entries(b.Targets))
	v.kind(KindModel, entries(a.Models), entries(b.Models))
	v.kind(KindAdapter, entries(a.Adapters), entries(b.Adapters))
	v.kind(KindTeam, entries(a.Teams), entries(b.Teams))
	v.kind(KindRoute, entries(a.Routes), entries(b.Routes))
	v.kind(KindObjective, entries(a.Objectives), entries(b.Objectives))
}

func entries[E entry](list []E) []entry {
	all := make([]entry, len(list))
	for i, e := range list {
		all[i] = e
	}
	return all
}
