package coordinator

import (
	"time"

	"hawthornway/catalog"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/model"
	"hawthornway/overload"
	"hawthornway/peer"
	"hawthornway/quarantine"
	"hawthornway/roster"
	"hawthornway/target"
	"hawthornway/team"
)

// The kinds of message between hosts and the coordinator.
const (
	kindBorrow      peer.Kind = "borrow"
	kindReport      peer.Kind = "host-report"
	kindLoadRequest peer.Kind = "want"
	kindView        peer.Kind = "view"
	kindConfigPart  peer.Kind = "configuration-part"
	kindLeader      peer.Kind = "coordinator"
	kindRenew       peer.Kind = "renew-lease"
	kindStoreRead   peer.Kind = "read-store"
	kindReserve     peer.Kind = "reserve-place"
	kindRelease     peer.Kind = "release-room"
)

// wireBorrow is a host's request to borrow tokens of a team.
type wireBorrow struct {
	Team team.ID     `cbor:"team"`
	Need team.Tokens `cbor:"need"`
	// MaxWait is in milliseconds.
	MaxWait      int64       `cbor:"max-wait-ms"`
	Queued       bool        `cbor:"queued"`
	Extra        team.Tokens `cbor:"spare"`
	ReserveSpent team.Tokens `cbor:"aside"`
	Returned     team.Tokens `cbor:"back"`
	// ReserveShare is missing in requests of older builds.
	ReserveShare *float64 `cbor:"reserve-share"`
	// Ledgerless is in milliseconds.
	Ledgerless int64 `cbor:"ledgerless-ms"`
}

// wireGrant is the answer to a wireBorrow.
type wireGrant struct {
	Tokens team.Tokens `cbor:"granted"`
	// Wait is the time in milliseconds until tokens are available if none were granted.
	Wait         int64   `cbor:"wait-ms"`
	ReserveShare float64 `cbor:"aside"`
	// ReserveStart, MaxReserve and MaxOverdraft are missing in grants of older builds.
	ReserveStart team.Tokens `cbor:"reserve-start"`
	MaxReserve   team.Tokens `cbor:"reserve-max"`
	MaxOverdraft team.Tokens `cbor:"reserve-overdraft"`
	MaxCached    team.Tokens `cbor:"keep"`
}

// wireLoadRequest reports the requests at a host that wait for a model.
type wireLoadRequest struct {
	Pool    target.Pool `cbor:"pool"`
	Model   model.Name  `cbor:"model"`
	Adapter model.Name  `cbor:"adapter"`
	// TargetVersion is the version of the engines that can serve the requests, or empty.
	TargetVersion target.Version `cbor:"target-version,omitempty"`
	// Homes are the regions of the engines that may serve the requests.
	Homes    fleet.RegionSet `cbor:"homes,omitempty"`
	Waiting  int             `cbor:"waiting"`
	OnTime   int             `cbor:"on-time"`
	Priority int             `cbor:"priority"`
}

// wireRenew asks another host to renew a lease in the store.
type wireRenew struct {
	Lease int64        `cbor:"lease"`
	Era   keyvalue.Era `cbor:"era,omitempty"`
}

type wireRenewed struct {
	// Ended is set if the lease has ended or never existed.
	Ended bool `cbor:"ended"`
}

// wireStoreRead asks another host to read the entries under a prefix from the store, or
// to watch them.
type wireStoreRead struct {
	Prefix string            `cbor:"prefix"`
	Watch  bool              `cbor:"watch"`
	After  keyvalue.Revision `cbor:"after"`
	// Wait is the longest wait of a watch in milliseconds.
	Wait int64 `cbor:"wait-ms"`
}

type wireStoreEvents struct {
	Events []wireStoreEvent  `cbor:"events"`
	At     keyvalue.Revision `cbor:"at"`
	// Compacted is set if the store no longer has the changes.
	Compacted bool `cbor:"compacted"`
	// Restored is set if the store has returned from an older copy of itself.
	Restored bool `cbor:"restored,omitempty"`
}

type wireStoreEvent struct {
	Key      string            `cbor:"1,keyasint"`
	Revision keyvalue.Revision `cbor:"2,keyasint"`
	Value    []byte            `cbor:"3,keyasint"`
	Deleted  bool              `cbor:"4,keyasint"`
}

func (w wireStoreEvent) entry() keyvalue.Entry {
	return keyvalue.Entry{Key: w.Key, Revision: w.Revision, Value: w.Value}
}

// wireReport is a host's periodic report to the coordinator.
type wireReport struct {
	// Since and Fence are the version and fence of the newest view that the host has.
	Since uint64       `cbor:"since"`
	Fence target.Fence `cbor:"fence"`
	// Targets holds the roster.Digests of the targets that the host knows, if it has no view
	// of the coordinator's term yet or has read the store itself. Coordinators of older builds
	// ignore it beside Since.
	Targets []uint64 `cbor:"targets"`
	// Hosts is the fleet size in the last view that the host received.
	Hosts int `cbor:"hosts"`
	// ReserveShares is sent without Since. Hosts of older builds don't send it.
	ReserveShares *wireReserveShares `cbor:"reserve-shares,omitempty"`
	// Weak is set by a host that is not to be preferred as the coordinator: it has too little
	// processor time, or is cut off from the targets.
	Weak bool `cbor:"weak"`
	// Config is the version of the host's configuration, or zero if the host doesn't know
	// whether that is the newest.
	Config catalog.Version `cbor:"config,omitempty"`
	// Crashes and Sound are evidence of what crashes targets, and Quarantined lists the
	// suspects that this host knows of.
	Crashes     []wireCrash          `cbor:"crashes,omitempty"`
	Sound       []quarantine.Suspect `cbor:"sound,omitempty"`
	Quarantined []wireQuarantine     `cbor:"quarantined,omitempty"`
	// Survived gives the ages and numbers for Sound, and suspects that aren't in it. Older builds read
	// Sound only. Survivals counts the suspects of all requests that targets survived.
	Survived  []wireSurvival `cbor:"survived,omitempty"`
	Survivals int            `cbor:"survivals,omitempty"`

	// Leaving lists the targets that have told this host that they leave.
	Leaving []wireLeaving `cbor:"leaving,omitempty"`
	// LimitDigest is a digest of the limits of targets that the host knows, and Limits what
	// targets said about them, unless the last view had the same digest.
	LimitDigest uint64      `cbor:"limit-digest,omitempty"`
	Limits      []wireLimit `cbor:"limits,omitempty"`

	Demand  []wireDemand  `cbor:"asked"`
	Running []wireRunning `cbor:"running"`
	// Stated is what targets have stated since the last report of how long work takes there.
	Stated []wireStated `cbor:"stated,omitempty"`
	// LoadsSeen is the LoadsVersion of the newest answer of the term.
	LoadsSeen uint64 `cbor:"loads-seen,omitempty"`
	// Unread are the prompts that this host has sent to such targets and that they haven't read,
	// and Readings show how fast quiet ones have read prompts since the last report.
	Unread   []wireUnread  `cbor:"unread,omitempty"`
	Readings []wireReading `cbor:"readings,omitempty"`
}

// wireUnread is the total size of the prompts that a target hasn't read.
type wireUnread struct {
	Target target.ID   `cbor:"1,keyasint"`
	Tokens team.Tokens `cbor:"2,keyasint"`
}

// wireReading is the reading of prompts by the quiet targets of a pool.
type wireReading struct {
	Pool   target.Pool `cbor:"1,keyasint"`
	Tokens team.Tokens `cbor:"2,keyasint"`
	// Time is in microseconds.
	Time int64 `cbor:"3,keyasint"`
}

func (w wireReading) reading() overload.Reading {
	return overload.Reading{Tokens: w.Tokens, Time: time.Duration(w.Time) * time.Microsecond}
}

// wireAdmission lists the flows of which hosts admit only a share of the requests.
type wireAdmission struct {
	Shares []wireShare `cbor:"1,keyasint,omitempty"`
	// Allotments divide the requests that are admitted among engines.
	Allotments []wireAllotment `cbor:"3,keyasint,omitempty"`
	// Early is set by a coordinator that may not have heard from all hosts yet.
	Early bool `cbor:"2,keyasint,omitempty"`
}

// wireAllotment is the part of an engine that the requests for a model may take.
type wireAllotment struct {
	Pool   target.Pool `cbor:"1,keyasint"`
	Model  model.Name  `cbor:"2,keyasint"`
	Target target.ID   `cbor:"3,keyasint"`
	// Rate is in prompt tokens per second.
	Rate int `cbor:"4,keyasint"`
}

// wireShare is the share of a flow's requests that hosts admit.
type wireShare struct {
	Pool     target.Pool `cbor:"1,keyasint"`
	Model    model.Name  `cbor:"2,keyasint"`
	Priority int         `cbor:"3,keyasint,omitempty"`
	Team     team.ID     `cbor:"4,keyasint"`
	// Admitted is in thousandths.
	Admitted int `cbor:"5,keyasint,omitempty"`
}

// wireStated is how long work takes at one target, as it has stated.
type wireStated struct {
	Target target.ID      `cbor:"1,keyasint"`
	Start  roster.StartID `cbor:"2,keyasint"`
	// Sum is the sum of Count statements, in percent of the usual.
	Sum   int `cbor:"3,keyasint"`
	Count int `cbor:"4,keyasint"`
}

// wireLoad is the load of a target that states how long work takes, over all hosts.
type wireLoad struct {
	Target  target.ID `cbor:"1,keyasint"`
	Running int       `cbor:"2,keyasint,omitempty"`
	// Slowdown is how long work has taken, in percent of the usual.
	Slowdown int `cbor:"3,keyasint,omitempty"`
	// Gone is set if the target has left. Hosts of older builds take it for one without load.
	Gone bool `cbor:"4,keyasint,omitempty"`
}

// wireReserveShares holds the fractions of teams' rates that a host may spend from its reserves.
type wireReserveShares struct {
	Shares map[team.ID]float64 `cbor:"shares"`
}

// list returns the shares, or nil if they weren't sent.
func (w *wireReserveShares) list() map[team.ID]float64 {
	if w == nil {
		return nil
	}
	if w.Shares == nil {
		return map[team.ID]float64{}
	}
	return w.Shares
}

// wireLeaving is a target that leaves.
type wireLeaving struct {
	Target target.ID      `cbor:"target"`
	Start  roster.StartID `cbor:"start"`
}

// wireCrash is the end of a target as it began to respond to a request.
type wireCrash struct {
	Target   target.ID            `cbor:"target"`
	Start    roster.StartID       `cbor:"start"`
	Request  string               `cbor:"request"`
	Suspects []quarantine.Suspect `cbor:"parts"`
	// Ago is the time since then in milliseconds, and Took that from the sending of the request to
	// the crash.
	Ago  int64 `cbor:"ago-ms"`
	Took int64 `cbor:"took-ms,omitempty"`
	// Unanswered is set if the target had not begun to respond.
	Unanswered bool `cbor:"unanswered,omitempty"`
}

// wireSurvival is a suspect of requests that targets survived.
type wireSurvival struct {
	Suspect quarantine.Suspect `cbor:"part"`
	// Ago is the time in milliseconds since the newest one was sent.
	Ago      int64 `cbor:"ago-ms"`
	Complete bool  `cbor:"complete,omitempty"`
	// Count is the number of requests since the last report, and Earlier that of those before the
	// suspect was suspected.
	Count   int `cbor:"count,omitempty"`
	Earlier int `cbor:"earlier,omitempty"`
}

// wireQuarantine is a suspect that crashes targets.
type wireQuarantine struct {
	Suspect quarantine.Suspect `cbor:"part"`
	// Left is the time in milliseconds until the quarantine ends, and Since that since the last
	// crash, or zero if that isn't known.
	Left  int64 `cbor:"left-ms"`
	Since int64 `cbor:"since-ms,omitempty"`
	// Ended lists the targets that have lately crashed under the suspect.
	Ended []wireEnd `cbor:"ended,omitempty"`
}

// wireEnd is the end of one start of a target.
type wireEnd struct {
	_      struct{} `cbor:",toarray"`
	Target target.ID
	Start  roster.StartID
}

type wireDemand struct {
	Pool    target.Pool `cbor:"pool"`
	Model   model.Name  `cbor:"model"`
	Adapter model.Name  `cbor:"adapter"`
	Count   int         `cbor:"count"`
	// Prompt is the total number of prompt tokens.
	Prompt team.Tokens `cbor:"prompt"`
	// Priority and Team are sent for pools whose targets state how long work takes.
	Priority int     `cbor:"priority,omitempty"`
	Team     team.ID `cbor:"team,omitempty"`
}

type wireRunning struct {
	Target  target.ID  `cbor:"target"`
	Model   model.Name `cbor:"model"`
	Adapter model.Name `cbor:"adapter"`
	Count   int        `cbor:"count"`
}

// wireView sends hosts the changes between two versions.
type wireView struct {
	Fence   target.Fence `cbor:"fence"`
	Since   uint64       `cbor:"since"`
	Version uint64       `cbor:"version"`
	// Answer is set if the view answers a report, and unset if it is broadcast.
	Answer  bool         `cbor:"answer"`
	Hosts   int          `cbor:"hosts"`
	Engines []wireEngine `cbor:"engines"`
	// Config is the coordinator's version of the configuration, or zero while it doesn't
	// know whether that is the newest. ConfirmedAgo is the time in milliseconds since the
	// store confirmed it and the targets.
	Config       catalog.Version `cbor:"config"`
	ConfirmedAgo int64           `cbor:"confirmed-ago-ms"`
	Targets      []wireTarget    `cbor:"targets"`
	// ReadRevision is the store revision up to which the view includes targets.
	ReadRevision keyvalue.Revision `cbor:"read"`
	// Removed lists targets that are no longer registered.
	Removed []wireRemoved `cbor:"gone"`
	// Forecasts holds the changed expectations of when models are loaded. It is only
	// broadcast: a host that misses one lets its requests wait.
	Forecasts []wireForecast `cbor:"forecasts"`
	// OrdersIn is the time in milliseconds until the coordinator may give orders.
	OrdersIn int64 `cbor:"orders-in-ms"`
	// Neighbours lists hosts to ask for the next coordinator when this one is lost.
	Neighbours []wireMember `cbor:"neighbours"`
	// CompleteBuckets lists the buckets of which Targets holds all registrations.
	CompleteBuckets []roster.Bucket `cbor:"whole"`
	// Successor is the host that a resigning coordinator prefers.
	Successor fleet.HostID `cbor:"successor"`
	// Quarantined lists the suspects that crash targets, and Sound those of the reported
	// crashes that don't.
	Quarantined []wireQuarantine     `cbor:"quarantined,omitempty"`
	Sound       []quarantine.Suspect `cbor:"sound,omitempty"`
	Survived    []wireSurvival       `cbor:"survived,omitempty"`
	// LimitDigest is a digest of the limits of targets that the coordinator knows, and Limits
	// what targets said about them, unless the host reported the same digest.
	LimitDigest uint64      `cbor:"limit-digest,omitempty"`
	Limits      []wireLimit `cbor:"limits,omitempty"`
	// More is set if further changes follow in the answer to the next report.
	More bool `cbor:"more"`
	// Evacuated lists the failure domains whose targets are to get no requests, as of
	// ReadRevision at least. Older builds don't send it.
	Evacuated *wireEvacuations `cbor:"evacuated,omitempty"`
	// Loads are changed loads of targets that state how long work takes, up to LoadsVersion.
	// They are only sent in answers to reports.
	Loads        []wireLoad `cbor:"loads,omitempty"`
	LoadsVersion uint64     `cbor:"loads-version,omitempty"`
	// Admission tells which requests hosts refuse because engines get more prompts than they can
	// read. It is only sent in answers to reports.
	Admission *wireAdmission `cbor:"admission,omitempty"`
}

// wireEvacuations lists the domains that are evacuated as of a store revision.
type wireEvacuations struct {
	Domains []fleet.DomainID  `cbor:"1,keyasint,omitempty"`
	At      keyvalue.Revision `cbor:"2,keyasint"`
}

// The elements of views have numeric keys to keep messages small, since there are
// thousands of targets and hundreds of hosts. Numbers of former fields must not be
// reused.

// wireRemoved is a target that is no longer registered.
type wireRemoved struct {
	ID      target.ID `cbor:"1,keyasint"`
	Version uint64    `cbor:"2,keyasint"`
	// Revision is the store revision of the removal, or zero if it isn't known. Older builds
	// don't send it.
	Revision keyvalue.Revision `cbor:"3,keyasint,omitempty"`
}

// wireTarget is the registration of a target.
type wireTarget struct {
	// Version is the version of the view with the last change. It lets the receiver
	// ignore older values, since views may arrive out of order.
	Version  uint64         `cbor:"1,keyasint"`
	ID       target.ID      `cbor:"2,keyasint"`
	Start    roster.StartID `cbor:"3,keyasint"`
	Pool     target.Pool    `cbor:"4,keyasint"`
	Address  string         `cbor:"5,keyasint"`
	Domain   fleet.DomainID `cbor:"6,keyasint"`
	Slots    int            `cbor:"7,keyasint"`
	Draining bool           `cbor:"8,keyasint"`
	Revision int64          `cbor:"9,keyasint"`
	// Models are the models that the engine registered. A wireEngine of the
	// same target takes precedence.
	Models []wireResident `cbor:"10,keyasint"`
	// TargetVersion is the version of the target's software.
	TargetVersion target.Version `cbor:"11,keyasint,omitempty"`
	// LapseLeft is set if the registration has ended, and is the time in milliseconds for
	// which the target is kept in case it is renewed, or lapseHeld. Older builds don't send it,
	// and take such a target for a registered one.
	LapseLeft int64 `cbor:"12,keyasint,omitempty"`
}

// lapseHeld means that the time begins when the store returns.
const lapseHeld = -1

func newWireTarget(t roster.Target) wireTarget {
	return wireTarget{
		ID: t.ID, Start: t.Start, Pool: t.Pool, Address: t.Address, Domain: t.Domain,
		Slots: t.Slots, Draining: t.Draining, Revision: t.Revision, Models: newWireResidents(t.Holdings),
		TargetVersion: t.Version,
	}
}

func (w wireTarget) target() roster.Target {
	return roster.Target{
		ID: w.ID, Start: w.Start, Pool: w.Pool, Address: w.Address, Domain: w.Domain,
		Slots: w.Slots, Draining: w.Draining, Revision: w.Revision, Holdings: roster.Holdings{Models: residents(w.Models)},
		Version: w.TargetVersion,
	}
}

// wireForecast is when a model that only the weight store has is expected to be loaded.
type wireForecast struct {
	Model model.Name `cbor:"1,keyasint"`
	// ReadyIn is in milliseconds. Zero means that there is no expectation any more.
	ReadyIn int64 `cbor:"2,keyasint"`
}

// wireEngine is the coordinator's state of an engine.
type wireEngine struct {
	Version uint64         `cbor:"1,keyasint"`
	Target  target.ID      `cbor:"2,keyasint"`
	Start   roster.StartID `cbor:"3,keyasint"`
	Models  []wireResident `cbor:"4,keyasint"`
	Work    int            `cbor:"5,keyasint"`
	// Loading is the model being loaded from the weight store, and ReadyIn the expected
	// time in milliseconds until the load ends.
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
