// Package overload decides how many of the requests for a model are admitted while the engines that
// hold it are sent more prompts than they can read. An engine that reads prompts all the time hardly
// continues its streams, and callers leave before their first event, so that it serves almost none
// of the requests that it was sent.
package overload

import (
	"cmp"
	"slices"
	"time"

	"hawthornway/model"
	"hawthornway/target"
	"hawthornway/team"
)

// Speed is a number of prompt tokens per second.
type Speed float64

// over returns the tokens read in a period.
func (s Speed) over(d time.Duration) team.Tokens { return team.Tokens(float64(s) * d.Seconds()) }

// Parameters of the decision.
const (
	// readShare is the share of an engine's time that reading prompts may take. The rest is for the
	// streams that it continues meanwhile. With less, they last so long that the engine's slots
	// run out.
	readShare = 0.6
	// usualBacklog is the time in which an engine reads the prompts that wait there. It is a
	// fraction of the time to a first event that callers of interactive routes expect, a second.
	usualBacklog = 300 * time.Millisecond
	// maxBacklog is the backlog from which most requests at an engine begin late.
	maxBacklog = time.Second
	// correctionTime is the time in which a backlog returns to the usual one. It is longer than
	// hosts take to report the backlog and to learn of the shares, so that the backlog settles.
	correctionTime = 3 * time.Second
	// assumedRoomShare is the share of its speed that an engine is sent while its speed is assumed
	// and its backlog is no larger than usual. It may be faster than assumed.
	assumedRoomShare = 1
	// minRoomShare is the least share of an engine's speed that is admitted, so that a wrong
	// backlog doesn't shut an engine off.
	minRoomShare = 0.1
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
	Speed   Speed
	Assumed bool
	// Unread is the size of the prompts that it was sent and has yet to read.
	Unread team.Tokens
}

// room returns the prompt tokens per second that an engine may be sent now.
func (e Engine) room() float64 {
	missing := float64(e.Speed.over(usualBacklog) - e.Unread)
	if e.Assumed && missing >= 0 {
		return assumedRoomShare * float64(e.Speed)
	}
	return max(minRoomShare*float64(e.Speed), readShare*float64(e.Speed)+missing/correctionTime.Seconds())
}

// Behind reports whether an engine is so far behind with reading that what others can run should go to
// them.
func (e Engine) Behind() bool { return e.Unread > e.Speed.over(maxBacklog) }

// Idle reports whether an engine reads what it is sent at once.
func (e Engine) Idle() bool { return e.Unread <= e.Speed.over(usualBacklog) }

// FlowID identifies a flow: the requests of a team for a model at a priority.
type FlowID struct {
	Model    model.Name
	Priority int // 0 goes first
	Team     team.ID
}

// Flow is the demand of a flow.
type Flow struct {
	FlowID
	Demand Speed
	// Weight is the weight of the team among the teams of the same priority.
	Weight float64
}

// Share is the share of a flow's requests that is admitted.
type Share struct {
	FlowID
	Admitted float64
}

// Room is the part of an engine's room that the requests for a model may take.
type Room struct {
	Model  model.Name
	Target target.ID
	Speed  Speed
}

// Allocation tells which requests are admitted for the models that get more prompts than their
// engines can read, ordered by flow, and to which engines they go, ordered by model and engine.
type Allocation struct {
	Shares []Share
	Rooms  []Room
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
	if !anyExceeds(engines, demand) {
		return a
	}
	rooms := divideEngines(engines, demand)
	for name, ofModel := range groupBy(flows, func(f Flow) model.Name { return f.Model }) {
		available := 0.0
		for _, r := range rooms[name] {
			available += float64(r.Speed)
		}
		if len(rooms[name]) > 0 && demand[name] > available*(1+minExcess) {
			a.Shares = append(a.Shares, divideModel(available, ofModel)...)
			a.Rooms = append(a.Rooms, rooms[name]...)
		}
	}
	slices.SortFunc(a.Shares, func(x, y Share) int { return compareFlows(x.FlowID, y.FlowID) })
	slices.SortFunc(a.Rooms, func(x, y Room) int {
		return cmp.Or(cmp.Compare(x.Model, y.Model), cmp.Compare(x.Target, y.Target))
	})
	return a
}

func compareFlows(a, b FlowID) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Team, b.Team))
}

// anyExceeds reports whether there is more demand for a held model than the part of its engines' room
// that it gets whatever is asked for the others. It takes a small part of the time of a division,
// which the coordinator of a large fleet would otherwise spend several times a second.
func anyExceeds(engines []Engine, demand map[model.Name]float64) bool {
	certain := make(map[model.Name]float64, len(demand))
	for _, e := range engines {
		asked := 0
		for _, name := range e.Models {
			if demand[name] > 0 {
				asked++
			}
		}
		if asked == 0 {
			continue
		}
		part := e.room() / float64(asked)
		for _, name := range e.Models {
			if demand[name] > 0 {
				certain[name] += part
			}
		}
	}
	for name, room := range certain {
		if demand[name] > room*(1+minExcess) {
			return true
		}
	}
	return false
}

// divideEngines divides the room of each engine among its models. Requests for a model are spread over
// its engines in proportion to their room.
func divideEngines(engines []Engine, demand map[model.Name]float64) map[model.Name][]Room {
	supply, rooms := map[model.Name]float64{}, map[model.Name][]Room{}
	for _, e := range engines {
		room := e.room()
		for _, name := range e.Models {
			supply[name] += room
		}
	}
	for _, e := range engines {
		room := e.room()
		claims := make([]claim, len(e.Models))
		for i, name := range e.Models {
			claims[i] = claim{demand: demand[name] * room / supply[name], weight: 1}
		}
		for i, grant := range maxMin(room, claims) {
			rooms[e.Models[i]] = append(rooms[e.Models[i]], Room{e.Models[i], e.ID, Speed(grant)})
		}
	}
	return rooms
}

// divideModel divides the room for a model among its flows.
func divideModel(room float64, flows []Flow) []Share {
	byPriority := groupBy(flows, func(f Flow) int { return f.Priority })
	priorities := make([]int, 0, len(byPriority))
	lower := 0.0
	for priority, ofPriority := range byPriority {
		priorities = append(priorities, priority)
		lower += total(ofPriority)
	}
	slices.Sort(priorities)
	var shares []Share
	left, reserve := room, lessUrgentShare*room
	for _, priority := range priorities {
		ofPriority := byPriority[priority]
		lower -= total(ofPriority)
		granted := min(total(ofPriority), left-min(lower, reserve))
		left -= granted
		shares = append(shares, divideTeams(granted, ofPriority)...)
	}
	return shares
}

// divideTeams divides the room for a model and a priority among the teams, and returns the shares
// of those that aren't admitted in full.
func divideTeams(room float64, flows []Flow) []Share {
	claims := make([]claim, len(flows))
	for i, f := range flows {
		claims[i] = claim{demand: float64(f.Demand), weight: f.Weight}
	}
	var shares []Share
	for i, grant := range maxMin(room, claims) {
		if f := flows[i]; float64(f.Demand) > grant*(1+minExcess) {
			shares = append(shares, Share{f.FlowID, max(0, grant) / float64(f.Demand)})
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

// claim is what one of those asks for that divide a room.
type claim struct{ demand, weight float64 }

// maxMin divides a room by weighted max-min fairness and returns what each claim gets.
func maxMin(room float64, claims []claim) []float64 {
	order := make([]int, len(claims))
	weights := 0.0
	for i, c := range claims {
		order[i] = i
		weights += c.weight
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(claims[a].demand*claims[b].weight, claims[b].demand*claims[a].weight)
	})
	granted := make([]float64, len(claims))
	for _, i := range order {
		c := claims[i]
		granted[i] = max(0, min(c.demand, room*c.weight/weights))
		room -= granted[i]
		weights -= c.weight
	}
	return granted
}
