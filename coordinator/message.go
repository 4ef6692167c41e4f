package coordinator

import (
	"hawthornway/catalog"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/model"
	"hawthornway/peer"
	"hawthornway/roster"
	"hawthornway/target"
	"hawthornway/team"
)

// The kinds of message between hosts and the coordinator.
const (
	kindBorrow peer.Kind = "borrow"
	kindReport peer.Kind = "host-report"
	kindWant   peer.Kind = "want"
	kindView   peer.Kind = "view"
	kindConfig peer.Kind = "configuration"
	kindLeader peer.Kind = "coordinator"
)

type wireBorrow struct {
	Team  team.ID     `cbor:"team"`
	Need  team.Tokens `cbor:"need"`
	Spare team.Tokens `cbor:"spare"`
	Aside team.Tokens `cbor:"aside"`
	Back  team.Tokens `cbor:"back"`
}

type wireLent struct {
	Granted team.Tokens `cbor:"granted"`
	Wait    int64       `cbor:"wait-ms"`
	Aside   float64     `cbor:"aside"`
	Keep    team.Tokens `cbor:"keep"`
}

type wireWant struct {
	Pool     target.Pool `cbor:"pool"`
	Model    model.Name  `cbor:"model"`
	Adapter  model.Name  `cbor:"adapter"`
	Waiting  int         `cbor:"waiting"`
	OnTime   int         `cbor:"on-time"`
	Priority int         `cbor:"priority"`
}

// wireConfig is the operators' configuration as a host read it from the store.
type wireConfig struct {
	Key      string            `cbor:"key"`
	Revision keyvalue.Revision `cbor:"revision"`
	Value    []byte            `cbor:"value"`
}

// wireReport is what a host says about twice a second.
type wireReport struct {
	// Since and Fence are those of the newest view that the host has.
	Since uint64       `cbor:"since"`
	Fence target.Fence `cbor:"fence"`
	// Targets are the digests of the targets that the host knows, as of
	// roster.Digests, if it has no view of the coordinator's term.
	Targets []uint64 `cbor:"targets"`
	// Hosts is the number of hosts that the host was last told of.
	Hosts   int           `cbor:"hosts"`
	Asked   []wireAsked   `cbor:"asked"`
	Running []wireRunning `cbor:"running"`
}

type wireAsked struct {
	Pool    target.Pool `cbor:"pool"`
	Model   model.Name  `cbor:"model"`
	Adapter model.Name  `cbor:"adapter"`
	Count   int         `cbor:"count"`
	// Prompt is the sum of the prompts' tokens.
	Prompt team.Tokens `cbor:"prompt"`
}

type wireRunning struct {
	Target  target.ID  `cbor:"target"`
	Model   model.Name `cbor:"model"`
	Adapter model.Name `cbor:"adapter"`
	Count   int        `cbor:"count"`
}

// wireView tells hosts what has changed between two versions.
type wireView struct {
	Fence   target.Fence `cbor:"fence"`
	Since   uint64       `cbor:"since"`
	Version uint64       `cbor:"version"`
	// Answer says that the view answers a report.
	Answer  bool         `cbor:"answer"`
	Hosts   int          `cbor:"hosts"`
	Engines []wireEngine `cbor:"engines"`
	// Config is the version of the configuration that the coordinator has, and
	// ConfirmedAgo how long ago the store confirmed it and the targets.
	Config       catalog.Version `cbor:"config"`
	ConfirmedAgo int64           `cbor:"confirmed-ago-ms"`
	Targets      []wireTarget    `cbor:"targets"`
	// Read is the store's revision up to which the coordinator tells of targets.
	Read keyvalue.Revision `cbor:"read"`
	// Gone are targets that are no longer registered.
	Gone []wireGone `cbor:"gone"`
	// OrdersIn is the time until the coordinator may give orders.
	OrdersIn int64 `cbor:"orders-in-ms"`
	// Neighbours are hosts to ask for the next coordinator.
	Neighbours []wireMember `cbor:"neighbours"`
	// Whole are the parts of which Targets are all that there are.
	Whole []roster.Bucket `cbor:"whole"`
	// More says that the next report gets more that has changed since.
	More bool `cbor:"more"`
}

// What views list is keyed by numbers, as there are thousands of targets and
// hundreds of hosts. A number that was used for a field is not used for another.

// wireGone is a target that is no longer registered.
type wireGone struct {
	ID      target.ID `cbor:"1,keyasint"`
	Version uint64    `cbor:"2,keyasint"`
}

// wireTarget is a target's registration.
type wireTarget struct {
	// Version is that of the view with the last change. Views may overtake each
	// other.
	Version  uint64         `cbor:"1,keyasint"`
	ID       target.ID      `cbor:"2,keyasint"`
	Start    roster.Start   `cbor:"3,keyasint"`
	Pool     target.Pool    `cbor:"4,keyasint"`
	Address  string         `cbor:"5,keyasint"`
	Domain   fleet.DomainID `cbor:"6,keyasint"`
	Slots    int            `cbor:"7,keyasint"`
	Leaving  bool           `cbor:"8,keyasint"`
	Revision int64          `cbor:"9,keyasint"`
	// Models are those that an engine holds unless the coordinator says otherwise.
	Models []wireResident `cbor:"10,keyasint"`
}

func newWireTarget(t roster.Target) wireTarget {
	return wireTarget{
		ID: t.ID, Start: t.Start, Pool: t.Pool, Address: t.Address, Domain: t.Domain,
		Slots: t.Slots, Leaving: t.Draining, Revision: t.Revision, Models: newWireResidents(t.Holdings),
	}
}

func (w wireTarget) target() roster.Target {
	return roster.Target{
		ID: w.ID, Start: w.Start, Pool: w.Pool, Address: w.Address, Domain: w.Domain,
		Slots: w.Slots, Draining: w.Leaving, Revision: w.Revision, Holdings: roster.Holdings{Models: residents(w.Models)},
	}
}

// same reports whether two registrations differ only in their revision, the version
// of their view, and the models that they hold.
func (w wireTarget) same(other wireTarget) bool {
	return w.ID == other.ID && w.Start == other.Start && w.Pool == other.Pool && w.Address == other.Address &&
		w.Domain == other.Domain && w.Slots == other.Slots && w.Leaving == other.Leaving
}

type wireEngine struct {
	Version uint64         `cbor:"1,keyasint"`
	Target  target.ID      `cbor:"2,keyasint"`
	Start   roster.Start   `cbor:"3,keyasint"`
	Models  []wireResident `cbor:"4,keyasint"`
	Work    int            `cbor:"5,keyasint"`
	// Loading is a model that is being loaded from the weight store, and ReadyIn
	// when it is expected to be there.
	Loading model.Name `cbor:"6,keyasint"`
	ReadyIn int64      `cbor:"7,keyasint"`
}

type wireResident struct {
	Model    model.Name   `cbor:"1,keyasint"`
	Adapters []model.Name `cbor:"2,keyasint"`
}

func newWireResidents(h roster.Holdings) []wireResident {
	wire := make([]wireResident, 0, len(h.Models))
	for _, m := range h.Models {
		wire = append(wire, wireResident(m))
	}
	return wire
}

func residents(wire []wireResident) []roster.Resident {
	residents := make([]roster.Resident, 0, len(wire))
	for _, m := range wire {
		residents = append(residents, roster.Resident(m))
	}
	return residents
}
