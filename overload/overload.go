// Package overload decides how many of the requests for a model are admitted while the engines that
// hold it are sent more prompts than they can read. An engine that reads prompts all the time hardly
// continues its streams, and callers leave before their first event, so that it serves almost none
// of the requests that it was sent.
package overload

import (
	"cmp"
	"slices"
	"time"

	"hawthornway/fair"
	"hawthornway/model"
	"hawthornway/target"
	"hawthornway/team"
)

// over returns the tokens of a period at a rate.
func over(rate team.TokensPerSecond, d time.Duration) team.Tokens {
	return team.Tokens(float64(rate) * d.Seconds())
}

// Parameters of the decision.
const (
	// readShare is the share of an engine's time that reading prompts may take. The rest is for the
	// streams that it continues meanwhile. With less, they last so long that the engine's slots
	// run out.
	readShare = 0.6
	// usualBacklogShare is the share of the objective in which an engine reads the prompts that
	// wait there.
	usualBacklogShare = 0.3
	// correctionTime is the time in which a backlog returns to the usual one. It is longer than
	// hosts take to report the backlog and to learn of the shares, so that the backlog settles.
	correctionTime = 3 * time.Second
	// assumedIntakeShare is the share of its speed that an engine is sent while its speed is
	// assumed and its backlog is no larger than usual. It may be faster than assumed.
	assumedIntakeShare = 1
	// minIntakeShare is the least share of an engine's speed that is admitted, so that a wrong
	// backlog doesn't shut an engine off.
	minIntakeShare = 0.1
	// lessUrgentShare is the share of a model's engines that less urgent requests get at least if
	// they ask for it, so that more urgent ones don't starve them.
	lessUrgentShare = 0.1
	// minExcess is the share by which demand exceeds the engines before any request is refused.
	// The demand is an estimate.
	minExcess = 0.05
)

// Engine is the state of an engine.
type Engine struct {
	ID target.ID
	// Models are those that it holds, or will hold within a moment.
	Models []model.Name
	// Speed is the speed at which it reads prompts if it does nothing else. It is assumed if it
	// hasn't been learned.
	Speed   team.TokensPerSecond
	Assumed bool
	// Objective is the time within which its callers expect a first event.
	Objective time.Duration
	// Unread is the size of the prompts that it was sent and has yet to read.
	Unread team.Tokens
}

// usualBacklog returns the size of the prompts that usually wait at an engine.
func (e Engine) usualBacklog() team.Tokens {
	return over(e.Speed, time.Duration(usualBacklogShare*float64(e.Objective)))
}

// intake returns the prompt tokens per second that an engine may be sent now.
func (e Engine) intake() float64 {
	missing := float64(e.usualBacklog() - e.Unread)
	if e.Assumed && missing >= 0 {
		return assumedIntakeShare * float64(e.Speed)
	}
	return max(minIntakeShare*float64(e.Speed), readShare*float64(e.Speed)+missing/correctionTime.Seconds())
}

// equalPart returns the part of an engine's intake that each of its models gets which is asked for,
// whatever is asked for the others.
func (e Engine) equalPart(demand map[model.Name]float64) float64 {
	asked := 0
	for _, name := range e.Models {
		if demand[name] > 0 {
			asked++
		}
	}
	return e.intake() / float64(max(1, asked))
}

// Behind reports whether an engine is so far behind with reading that what it is sent begins late.
// What others can run should go to them.
func (e Engine) Behind() bool { return e.Unread > over(e.Speed, e.Objective) }

// Idle reports whether an engine reads what it is sent at once.
func (e Engine) Idle() bool { return e.Unread <= e.usualBacklog() }

// FlowID identifies a flow: the requests of a team for a model at a priority.
type FlowID struct {
	Model    model.Name
	Priority int // 0 goes first
	Team     team.ID
}

// Flow is the demand of a flow.
type Flow struct {
	FlowID
	Demand team.TokensPerSecond
	// Weight is the weight of the team among the teams of the same priority.
	Weight float64
}

// Share is the share of a flow's requests that is admitted.
type Share struct {
	FlowID
	Admitted float64
}

// Allotment is the part of an engine's intake that the requests for a model may take.
type Allotment struct {
	Model  model.Name
	Target target.ID
	Rate   team.TokensPerSecond
}

// Allocation tells which requests are admitted for the models that get more prompts than their
// engines can read, ordered by flow, and to which engines they go, ordered by model and engine.
type Allocation struct {
	Shares     []Share
	Allotments []Allotment
}

// Allocate returns the shares of the flows that are not admitted in full. Each engine is divided
// fairly among its models, so that many requests for one model don't displace those for others. The
// part of a model goes to its most urgent requests first, and among requests of the same priority to
// the teams by weight. All divisions are by weighted max-min fairness: none gets more than it asks
// for, and small ones are admitted in full. Models that no engine holds are left out, since their
// requests wait for a load.
func Allocate(engines []Engine, flows []Flow) Allocation {
	demand := map[model.Name]float64{}
	for _, f := range flows {
		demand[f.Model] += float64(f.Demand)
	}
	var a Allocation
	certain := certainIntake(engines, demand)
	if !anyExceeds(demand, certain) {
		return a // without the division, which takes long in a large fleet
	}
	allotments := divideEngines(engines, demand, certain)
	for name, ofModel := range groupBy(flows, func(f Flow) model.Name { return f.Model }) {
		available := 0.0
		for _, part := range allotments[name] {
			available += float64(part.Rate)
		}
		if len(allotments[name]) > 0 && demand[name] > available*(1+minExcess) {
			a.Shares = append(a.Shares, divideModel(available, ofModel)...)
			a.Allotments = append(a.Allotments, allotments[name]...)
		}
	}
	slices.SortFunc(a.Shares, func(x, y Share) int { return compareFlows(x.FlowID, y.FlowID) })
	slices.SortFunc(a.Allotments, func(x, y Allotment) int {
		return cmp.Or(cmp.Compare(x.Model, y.Model), cmp.Compare(x.Target, y.Target))
	})
	return a
}

func compareFlows(a, b FlowID) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Team, b.Team))
}

// certainIntake returns, for each held model that is asked for, what it gets of its engines whatever
// is asked for the others.
func certainIntake(engines []Engine, demand map[model.Name]float64) map[model.Name]float64 {
	certain := make(map[model.Name]float64, len(demand))
	for _, e := range engines {
		part := e.equalPart(demand)
		for _, name := range e.Models {
			if demand[name] > 0 {
				certain[name] += part
			}
		}
	}
	return certain
}

// anyExceeds reports whether there is more demand for a model than it certainly gets.
func anyExceeds(demand, certain map[model.Name]float64) bool {
	for name, intake := range certain {
		if demand[name] > intake*(1+minExcess) {
			return true
		}
	}
	return false
}

// divideEngines divides the intake of each engine among its models. Requests for a model are spread
// over its engines in proportion to what it certainly gets there.
func divideEngines(engines []Engine, demand, certain map[model.Name]float64) map[model.Name][]Allotment {
	allotments := map[model.Name][]Allotment{}
	for _, e := range engines {
		part := e.equalPart(demand)
		demands := make([]float64, len(e.Models))
		for i, name := range e.Models {
			if demand[name] > 0 {
				demands[i] = demand[name] * part / certain[name]
			}
		}
		for i, grant := range fair.MaxMin(demands, slices.Repeat([]float64{1}, len(demands)), e.intake()) {
			if demands[i] > 0 {
				name := e.Models[i]
				allotments[name] = append(allotments[name], Allotment{name, e.ID, team.TokensPerSecond(grant)})
			}
		}
	}
	return allotments
}

// divideModel divides the intake for a model among its flows.
func divideModel(intake float64, flows []Flow) []Share {
	byPriority := groupBy(flows, func(f Flow) int { return f.Priority })
	priorities := make([]int, 0, len(byPriority))
	lower := 0.0
	for priority, ofPriority := range byPriority {
		priorities = append(priorities, priority)
		lower += total(ofPriority)
	}
	slices.Sort(priorities)
	var shares []Share
	left, reserve := intake, lessUrgentShare*intake
	for _, priority := range priorities {
		ofPriority := byPriority[priority]
		lower -= total(ofPriority)
		granted := max(0, min(total(ofPriority), left-min(lower, reserve)))
		left -= granted
		shares = append(shares, divideTeams(granted, ofPriority)...)
	}
	return shares
}

// divideTeams divides the intake for a model and a priority among the teams, and returns the shares
// of those that aren't admitted in full.
func divideTeams(intake float64, flows []Flow) []Share {
	demands, weights := make([]float64, len(flows)), make([]float64, len(flows))
	for i, f := range flows {
		demands[i], weights[i] = float64(f.Demand), f.Weight
	}
	var shares []Share
	for i, grant := range fair.MaxMin(demands, weights, intake) {
		if f := flows[i]; demands[i] > grant*(1+minExcess) {
			shares = append(shares, Share{f.FlowID, grant / demands[i]})
		}
	}
	return shares
}

func total(flows []Flow) float64 {
	sum := 0.0
	for _, f := range flows {
		sum += float64(f.Demand)
	}
	return sum
}

func groupBy[K comparable](flows []Flow, key func(Flow) K) map[K][]Flow {
	groups := map[K][]Flow{}
	for _, f := range flows {
		groups[key(f)] = append(groups[key(f)], f)
	}
	return groups
}
