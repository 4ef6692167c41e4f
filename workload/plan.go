package workload

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hawthornway/config"
	"hawthornway/model"
	"hawthornway/team"
)

// Settings say what a plan holds.
type Settings struct {
	Seed     uint64
	Duration time.Duration
	// Hosts is the number of hosts that the requests are spread over.
	Hosts int
	// Load is the part of its rate that each team offers.
	Load float64
	// Excess is the multiple of its rate that the team with the lowest rate
	// offers.
	Excess float64
	// BurstEvery is the mean time between bursts at an idle model.
	BurstEvery time.Duration
	// CallsPerSecond is the rate of calls to plain services.
	CallsPerSecond float64
}

// DefaultSettings returns the settings of a run of a minute.
func DefaultSettings() Settings {
	return Settings{
		Seed:           1,
		Duration:       time.Minute,
		Hosts:          9,
		Load:           0.6,
		Excess:         4,
		BurstEvery:     2 * time.Second,
		CallsPerSecond: 8,
	}
}

// The bounds of what is drawn.
const (
	// largestPart divides a team's burst into the largest request drawn.
	largestPart   = 2
	burstSpread   = 100 * time.Millisecond
	chargeSamples = 200
)

// planner draws the arrivals of one plan.
type planner struct {
	settings Settings
	config   config.Config
	limits   map[model.Name]team.Tokens
	draw     *rand.Rand
	arrivals []Arrival
}

// NewPlan returns the arrivals of a plan in the order of their times. The same
// configuration and settings give the same plan.
func NewPlan(c config.Config, settings Settings) []Arrival {
	p := &planner{
		settings: settings,
		config:   c,
		limits:   outputLimits(c),
		draw:     rand.New(rand.NewPCG(settings.Seed, 0)),
	}
	excess := ExcessTeam(c)
	for _, t := range c.Teams {
		load := settings.Load
		if t.Name == excess {
			load = settings.Excess
		}
		p.steady(t, load)
	}
	p.bursts(excess)
	p.calls()
	slices.SortStableFunc(p.arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return p.arrivals
}

// ExcessTeam returns the team that offers more than its rate.
func ExcessTeam(c config.Config) team.ID {
	return slices.MinFunc(c.Teams, func(a, b config.Team) int { return cmp.Compare(a.Rate, b.Rate) }).Name
}

// outputLimits returns the most tokens that each model and adapter generates.
func outputLimits(c config.Config) map[model.Name]team.Tokens {
	limits := make(map[model.Name]team.Tokens)
	for _, m := range c.Models {
		limits[m.Name] = m.MaxOutputTokens
	}
	for _, a := range c.Adapters {
		limits[a.Name] = limits[a.Base]
	}
	return limits
}

// steady adds a team's Poisson arrivals, most of them at a few of its models.
func (p *planner) steady(t config.Team, load float64) {
	models := slices.Clone(t.Models)
	p.draw.Shuffle(len(models), func(i, j int) { models[i], models[j] = models[j], models[i] })
	zipf := rand.NewZipf(p.draw, 1.6, 2, uint64(len(models)-1))
	next := func() Completion {
		return p.within(t, func() Completion { return p.completion(models[zipf.Uint64()]) })
	}
	perSecond := load * float64(t.Rate) / p.meanCharge(next)
	for at := p.gap(perSecond); at < p.settings.Duration; at += p.gap(perSecond) {
		p.add(at, t.Name, next())
	}
}

// within draws until a request fits well into the team's burst; a larger one
// could never be admitted.
func (p *planner) within(t config.Team, next func() Completion) Completion {
	for {
		work := next()
		if work.charge() <= t.Burst/largestPart {
			return work
		}
	}
}

func (p *planner) meanCharge(next func() Completion) float64 {
	var sum team.Tokens
	for range chargeSamples {
		sum += next().charge()
	}
	return float64(sum) / chargeSamples
}

// gap draws the time to the next of some Poisson arrivals.
func (p *planner) gap(perSecond float64) time.Duration {
	return time.Duration(p.draw.ExpFloat64() / perSecond * float64(time.Second))
}

// bursts adds first requests at one model from many hosts at once.
func (p *planner) bursts(excess team.ID) {
	teams := slices.DeleteFunc(slices.Clone(p.config.Teams), func(t config.Team) bool { return t.Name == excess })
	perSecond := 1 / p.settings.BurstEvery.Seconds()
	for at := p.gap(perSecond); at < p.settings.Duration; at += p.gap(perSecond) {
		t := teams[p.draw.IntN(len(teams))]
		name := t.Models[p.draw.IntN(len(t.Models))]
		for range max(2, 2*p.settings.Hosts/3) {
			work := p.within(t, func() Completion { return p.completion(name) })
			work.MaxTokens = min(work.MaxTokens, 32)
			p.add(at+time.Duration(p.draw.Int64N(int64(burstSpread))), t.Name, work)
		}
	}
}

func (p *planner) add(at time.Duration, name team.ID, work Completion) {
	p.arrivals = append(p.arrivals, Arrival{
		At:     at,
		Team:   name,
		Host:   p.draw.IntN(p.settings.Hosts),
		Work:   work,
		Charge: work.charge(),
	})
}

// completion draws a quick question, a brief or a long review.
func (p *planner) completion(name model.Name) Completion {
	words, most := 10+p.draw.IntN(40), team.Tokens(16+p.draw.IntN(32))
	switch kind := p.draw.IntN(20); {
	case kind < 2:
		words, most = 200+p.draw.IntN(300), 256
	case kind < 7:
		words, most = 50+p.draw.IntN(100), team.Tokens(48+p.draw.IntN(80))
	}
	return Completion{
		Model:     name,
		Prompt:    prompt(p.draw, words),
		MaxTokens: min(most, p.limits[name]),
		Seed:      p.draw.Int64N(1 << 30),
	}
}

// calls adds calls to plain services by the teams that may make them.
func (p *planner) calls() {
	if len(p.config.Routes) == 0 || p.settings.CallsPerSecond <= 0 {
		return
	}
	for at := p.gap(p.settings.CallsPerSecond); at < p.settings.Duration; at += p.gap(p.settings.CallsPerSecond) {
		t := p.config.Teams[p.draw.IntN(len(p.config.Teams))]
		if len(t.Routes) == 0 {
			continue
		}
		p.call(at, t)
	}
}

func (p *planner) call(at time.Duration, t config.Team) {
	name := t.Routes[p.draw.IntN(len(t.Routes))]
	index := slices.IndexFunc(p.config.Routes, func(r config.Route) bool { return r.Name == name })
	r := p.config.Routes[index]
	work := ServiceCall{Method: r.Methods[0], Path: r.Path, Idempotent: r.Idempotent}
	number := p.draw.Uint64()
	if !r.Idempotent {
		work.Body = fmt.Sprintf(`{"booking":"%d"}`, number)
		if p.draw.IntN(2) == 0 {
			work.Key = fmt.Sprintf("key-%d", number)
		}
	}
	p.arrivals = append(p.arrivals, Arrival{
		At:     at,
		Team:   t.Name,
		Host:   p.draw.IntN(p.settings.Hosts),
		Work:   work,
		Charge: r.Cost,
	})
}
