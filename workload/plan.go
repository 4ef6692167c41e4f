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

// Settings configures the traffic of a plan.
type Settings struct {
	Seed     uint64
	Duration time.Duration
	// Hosts is the number of hosts that the requests are spread over.
	Hosts int
	// Load is the traffic that each team offers, as a fraction of its rate.
	Load float64
	// Excess is the traffic that the team with the lowest rate offers, as a
	// multiple of its rate.
	Excess float64
	// BurstInterval is the mean time between bursts of requests for one model.
	BurstInterval time.Duration
	// CallsPerSecond is the rate of calls to plain services.
	CallsPerSecond float64
}

// DefaultSettings returns the settings of a one-minute run.
func DefaultSettings() Settings {
	return Settings{
		Seed:           1,
		Duration:       time.Minute,
		Hosts:          9,
		Load:           0.6,
		Excess:         4,
		BurstInterval:  2 * time.Second,
		CallsPerSecond: 8,
	}
}

// Parameters of the generated traffic.
const (
	// burstDivisor divides a team's burst to give the maximum charge of one
	// request.
	burstDivisor = 2
	// maxBurstSpread is the period within which the requests of a burst arrive.
	maxBurstSpread = 100 * time.Millisecond
	// chargeSamples is the number of requests drawn to estimate the mean charge.
	chargeSamples = 200
)

// planner generates the arrivals of one plan.
type planner struct {
	settings     Settings
	config       config.Config
	outputLimits map[model.Name]team.Tokens
	rng          *rand.Rand
	arrivals     []Arrival
}

// NewPlan returns the arrivals of a plan, ordered by time. Equal configurations
// and settings give equal plans.
func NewPlan(c config.Config, settings Settings) []Arrival {
	p := &planner{
		settings:     settings,
		config:       c,
		outputLimits: outputLimits(c),
		rng:          rand.New(rand.NewPCG(settings.Seed, 0)),
	}
	excessTeam := ExcessTeam(c)
	for _, t := range c.Teams {
		load := settings.Load
		if t.Name == excessTeam {
			load = settings.Excess
		}
		p.addSteadyTraffic(t, load)
	}
	p.addBursts(excessTeam)
	p.addServiceCalls()
	slices.SortStableFunc(p.arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return p.arrivals
}

// ExcessTeam returns the team that offers more than its rate.
func ExcessTeam(c config.Config) team.ID {
	return slices.MinFunc(c.Teams, func(a, b config.Team) int { return cmp.Compare(a.Rate, b.Rate) }).Name
}

// outputLimits returns the maximum number of tokens that each model and adapter
// generates.
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

// addSteadyTraffic adds Poisson arrivals of a team, Zipf-distributed over its
// models.
func (p *planner) addSteadyTraffic(t config.Team, load float64) {
	models := slices.Clone(t.Models)
	p.rng.Shuffle(len(models), func(i, j int) { models[i], models[j] = models[j], models[i] })
	zipf := rand.NewZipf(p.rng, 1.6, 2, uint64(len(models)-1))
	draw := func() Completion {
		return p.drawWithinBurst(t, func() Completion { return p.drawCompletion(models[zipf.Uint64()]) })
	}
	perSecond := load * float64(t.Rate) / p.meanCharge(draw)
	for at := p.drawInterval(perSecond); at < p.settings.Duration; at += p.drawInterval(perSecond) {
		p.addCompletion(at, t.Name, draw())
	}
}

// drawWithinBurst draws requests until one fits well into the team's burst. A
// request larger than the burst could never be admitted.
func (p *planner) drawWithinBurst(t config.Team, draw func() Completion) Completion {
	for {
		work := draw()
		if work.charge() <= t.Burst/burstDivisor {
			return work
		}
	}
}

func (p *planner) meanCharge(draw func() Completion) float64 {
	var sum team.Tokens
	for range chargeSamples {
		sum += draw().charge()
	}
	return float64(sum) / chargeSamples
}

// drawInterval draws the time to the next arrival of a Poisson process.
func (p *planner) drawInterval(perSecond float64) time.Duration {
	return time.Duration(p.rng.ExpFloat64() / perSecond * float64(time.Second))
}

// addBursts adds bursts of requests for one model at many hosts within a short
// time.
func (p *planner) addBursts(excessTeam team.ID) {
	teams := slices.DeleteFunc(slices.Clone(p.config.Teams), func(t config.Team) bool { return t.Name == excessTeam })
	perSecond := 1 / p.settings.BurstInterval.Seconds()
	for at := p.drawInterval(perSecond); at < p.settings.Duration; at += p.drawInterval(perSecond) {
		t := teams[p.rng.IntN(len(teams))]
		name := t.Models[p.rng.IntN(len(t.Models))]
		for range max(2, 2*p.settings.Hosts/3) {
			work := p.drawWithinBurst(t, func() Completion { return p.drawCompletion(name) })
			work.MaxTokens = min(work.MaxTokens, 32)
			p.addCompletion(at+time.Duration(p.rng.Int64N(int64(maxBurstSpread))), t.Name, work)
		}
	}
}

func (p *planner) addCompletion(at time.Duration, name team.ID, work Completion) {
	p.arrivals = append(p.arrivals, Arrival{
		At:     at,
		Team:   name,
		Host:   p.rng.IntN(p.settings.Hosts),
		Work:   work,
		Charge: work.charge(),
	})
}

// drawCompletion draws a completion with a short, medium or long prompt, in the
// ratio 13 to 5 to 2.
func (p *planner) drawCompletion(name model.Name) Completion {
	words, maxTokens := 10+p.rng.IntN(40), team.Tokens(16+p.rng.IntN(32))
	switch kind := p.rng.IntN(20); {
	case kind < 2:
		words, maxTokens = 200+p.rng.IntN(300), 256
	case kind < 7:
		words, maxTokens = 50+p.rng.IntN(100), team.Tokens(48+p.rng.IntN(80))
	}
	return Completion{
		Model:     name,
		Prompt:    drawPrompt(p.rng, words),
		MaxTokens: min(maxTokens, p.outputLimits[name]),
		Seed:      p.rng.Int64N(1 << 30),
	}
}

// addServiceCalls adds calls to plain services by teams that have routes to them.
func (p *planner) addServiceCalls() {
	if len(p.config.Routes) == 0 || p.settings.CallsPerSecond <= 0 {
		return
	}
	for at := p.drawInterval(p.settings.CallsPerSecond); at < p.settings.Duration; at += p.drawInterval(p.settings.CallsPerSecond) {
		t := p.config.Teams[p.rng.IntN(len(p.config.Teams))]
		if len(t.Routes) == 0 {
			continue
		}
		p.addServiceCall(at, t)
	}
}

func (p *planner) addServiceCall(at time.Duration, t config.Team) {
	name := t.Routes[p.rng.IntN(len(t.Routes))]
	index := slices.IndexFunc(p.config.Routes, func(r config.Route) bool { return r.Name == name })
	r := p.config.Routes[index]
	work := ServiceCall{Method: r.Methods[0], Path: r.Path, Idempotent: r.Idempotent}
	number := p.rng.Uint64()
	if !r.Idempotent {
		work.Body = fmt.Sprintf(`{"booking":"%d"}`, number)
		if p.rng.IntN(2) == 0 {
			work.IdempotencyKey = fmt.Sprintf("key-%d", number)
		}
	}
	p.arrivals = append(p.arrivals, Arrival{
		At:     at,
		Team:   t.Name,
		Host:   p.rng.IntN(p.settings.Hosts),
		Work:   work,
		Charge: r.Cost,
	})
}
