package config

// Kind is a kind of entry, named like its list in the files.
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
	// KindEvacuation entries are named by their domains.
	KindEvacuation Kind = "evacuations"
)

// entry is an entry of any kind.
type entry interface{ name() string }

func (d Domain) name() string     { return string(d.Name) }
func (t Target) name() string     { return string(t.Name) }
func (m Model) name() string      { return string(m.Name) }
func (a Adapter) name() string    { return string(a.Name) }
func (t Team) name() string       { return string(t.Name) }
func (r Route) name() string      { return string(r.Name) }
func (o Objective) name() string  { return o.Name }
func (e Evacuation) name() string { return string(e.Domain) }

// kindVisitor is called for each kind with the entries of two configurations.
type kindVisitor interface {
	visitKind(kind Kind, a, b []entry)
}

func visitKinds(a, b Config, v kindVisitor) {
	v.visitKind(KindDomain, entries(a.Domains), entries(b.Domains))
	v.visitKind(KindTarget, entries(a.Targets), entries(b.Targets))
	v.visitKind(KindModel, entries(a.Models), entries(b.Models))
	v.visitKind(KindAdapter, entries(a.Adapters), entries(b.Adapters))
	v.visitKind(KindTeam, entries(a.Teams), entries(b.Teams))
	v.visitKind(KindRoute, entries(a.Routes), entries(b.Routes))
	v.visitKind(KindObjective, entries(a.Objectives), entries(b.Objectives))
	v.visitKind(KindEvacuation, entries(a.Evacuations), entries(b.Evacuations))
}

func entries[E entry](list []E) []entry {
	all := make([]entry, len(list))
	for i, e := range list {
		all[i] = e
	}
	return all
}
