package config

import (
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"path"
	"regexp"
	"slices"
	"strings"
	"time"

	"hawthornway/document"
	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/target"
	"hawthornway/team"
)

const (
	maxTokens    = team.Tokens(1) << 40
	maxMemory    = model.Bytes(1) << 50
	maxReplicas  = 10_000
	maxSlots     = 100_000
	maxLoadTime  = 24 * time.Hour
	maxPriority  = 1_000
	minWindow    = time.Hour
	maxWindow    = 90 * 24 * time.Hour
	maxDeadline  = time.Hour
	maxBodyBytes = 64 << 20
	maxQueue     = 1 << 30
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
)

// reservedPaths are the paths that the host serves itself.
var reservedPaths = []string{"/v1/chat", "/v1/completions", "/v1/models", "/healthz", "/readyz", "/metrics"}

var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// Check validates a merged configuration. The error is a document.Problems that
// lists all problems. It names entries by kind and name, since their files are
// not known.
func Check(c Config) error {
	check := &checker{locate: func(Kind, string) location { return location{} }}
	check.config(c)
	return check.problems.Err()
}

// checker collects the problems of a merged configuration.
type checker struct {
	locate   func(Kind, string) location
	problems document.Problems
	// failedFields holds the fieldKey of each field that has a problem already.
	failedFields map[string]bool

	domains  map[fleet.DomainID]bool
	regions  map[fleet.RegionID]bool
	pools    map[target.Pool]pool
	models   map[model.Name]Model
	adapters map[model.Name]Adapter
	teams    map[team.ID]bool
	routes   map[RouteName]bool
}

// pool describes a pool: the kind of its first target, which all others must
// have too, and the memory of its largest target.
type pool struct {
	kind   target.Kind
	memory model.Bytes
}

func (c *checker) config(config Config) {
	c.failedFields = map[string]bool{}
	for _, p := range c.problems {
		c.failedFields[fieldKey(p)] = true
	}
	c.index(config)
	checkEach(c, KindDomain, config.Domains, c.domain)
	checkEach(c, KindTarget, config.Targets, c.target)
	checkEach(c, KindModel, config.Models, c.model)
	checkEach(c, KindAdapter, config.Adapters, c.adapter)
	checkEach(c, KindTeam, config.Teams, c.team)
	checkEach(c, KindRoute, config.Routes, c.route)
	checkEach(c, KindObjective, config.Objectives, c.objective)
	checkEach(c, KindEvacuation, config.Evacuations, c.evacuation)
	checkUnique(c, KindTarget, "address", config.Targets, func(t Target) string { return t.Address })
	checkUnique(c, KindRoute, "path", config.Routes, func(r Route) string { return strings.TrimRight(r.Path, "/") })
}

func (c *checker) index(config Config) {
	c.domains = map[fleet.DomainID]bool{}
	c.pools = map[target.Pool]pool{}
	c.models = map[model.Name]Model{}
	c.adapters = map[model.Name]Adapter{}
	c.teams = map[team.ID]bool{}
	c.routes = map[RouteName]bool{}
	c.regions = map[fleet.RegionID]bool{}
	for _, d := range config.Domains {
		c.domains[d.Name] = true
		if d.Region != "" {
			c.regions[d.Region] = true
		}
	}
	for _, t := range config.Targets {
		known, exists := c.pools[t.Pool]
		if !exists {
			known.kind = t.Kind
		}
		known.memory = max(known.memory, t.Memory)
		c.pools[t.Pool] = known
	}
	for _, m := range config.Models {
		c.models[m.Name] = m
	}
	for _, a := range config.Adapters {
		c.adapters[a.Name] = a
	}
	for _, t := range config.Teams {
		c.teams[t.Name] = true
	}
	for _, r := range config.Routes {
		c.routes[r.Name] = true
	}
}

// entryChecker collects the problems of one entry.
type entryChecker struct {
	*checker
	kind     Kind
	entry    string
	location location
}

func checkEach[E entry](c *checker, kind Kind, list []E, check func(entryChecker, E)) {
	for _, e := range list {
		check(entryChecker{c, kind, e.name(), c.locate(kind, e.name())}, e)
	}
}

// fail adds a problem, unless the field has one already.
func (e entryChecker) fail(field, format string, args ...any) {
	problem := document.Problem{
		Field:  fmt.Sprintf("%s[%s].%s", e.kind, e.entry, field),
		Reason: fmt.Sprintf(format, args...),
	}
	if e.location.doc != nil {
		problem = e.location.doc.Problem(e.location.field+"."+field, format, args...)
	}
	at := fieldKey(problem)
	if !e.failedFields[at] {
		e.failedFields[at] = true
		e.problems = append(e.problems, problem)
	}
}

// fieldKey identifies the field of a problem over all files.
func fieldKey(p document.Problem) string { return p.File + ":" + p.Field }

// checkUnique checks that no two entries of a kind have the same value. Empty
// values are not compared.
func checkUnique[E entry](c *checker, kind Kind, field string, list []E, value func(E) string) {
	first := map[string]string{}
	for _, e := range list {
		v := value(e)
		if other, taken := first[v]; taken && v != "" {
			at := entryChecker{c, kind, e.name(), c.locate(kind, e.name())}
			at.fail(field, "%q is also that of %q", v, other)
			continue
		}
		first[v] = e.name()
	}
}

func (e entryChecker) name(field, value string) {
	if !namePattern.MatchString(value) {
		e.fail(field, "must be 1 to 63 lower-case letters, digits, dots and hyphens, not %q", value)
	}
}

func (e entryChecker) modelName(value model.Name) {
	if !modelPattern.MatchString(string(value)) {
		e.fail("name", "must be 1 to 128 letters, digits and any of . _ : / -, not %q", value)
	}
}

func (e entryChecker) version(value model.Version) {
	if !modelPattern.MatchString(string(value)) {
		e.fail("version", "must be 1 to 128 letters, digits and any of . _ : / -, not %q", value)
	}
}

// checkRange checks that a number is from low to high.
func checkRange[N ~int | ~int64](e entryChecker, field string, value, low, high N) {
	if value < low || value > high {
		e.fail(field, "must be from %v to %v, not %v", low, high, value)
	}
}

func (c *checker) domain(e entryChecker, d Domain) {
	e.name("name", string(d.Name))
	if d.Region != "" {
		e.name("region", string(d.Region))
	}
}

func (c *checker) target(e entryChecker, t Target) {
	e.name("name", string(t.Name))
	e.name("pool", string(t.Pool))
	if t.Kind != target.KindEngine && t.Kind != target.KindService {
		e.fail("kind", "must be engine or service, not %q", t.Kind)
	}
	if !c.domains[t.Domain] {
		e.fail("domain", "domain %q does not exist", t.Domain)
	}
	if address, err := netip.ParseAddrPort(t.Address); err != nil || address.Port() == 0 {
		e.fail("address", "must be an IP number and port, not %q", t.Address)
	}
	if t.Kind != c.pools[t.Pool].kind {
		e.fail("pool", "pool %q holds both engines and services", t.Pool)
	}
	if t.Kind == target.KindEngine {
		checkRange(e, "memory", t.Memory, 1, maxMemory)
	}
	checkRange(e, "slots", t.Slots, 1, maxSlots)
}

func (c *checker) model(e entryChecker, m Model) {
	e.modelName(m.Name)
	e.version(m.Version)
	checkRange(e, "memory", m.Memory, 1, maxMemory)
	checkRange(e, "load-time", m.LoadTime, 0, maxLoadTime)
	checkRange(e, "idle-after", m.IdleAfter, 0, maxLoadTime)
	checkRange(e, "min-replicas", m.MinReplicas, 0, maxReplicas)
	checkRange(e, "max-replicas", m.MaxReplicas, max(1, m.MinReplicas), maxReplicas)
	checkRange(e, "max-output-tokens", m.MaxOutputTokens, 1, maxTokens)
	found, exists := c.pools[m.Pool]
	switch {
	case !exists || found.kind != target.KindEngine:
		e.fail("pool", "pool %q has no engines", m.Pool)
	case m.Memory > found.memory:
		e.fail("memory", "is %d, more than the %d of the largest engine in pool %q", m.Memory, found.memory, m.Pool)
	}
}

func (c *checker) adapter(e entryChecker, a Adapter) {
	e.modelName(a.Name)
	e.version(a.Version)
	checkRange(e, "memory", a.Memory, 1, maxMemory)
	checkRange(e, "load-time", a.LoadTime, 0, maxLoadTime)
	if _, taken := c.models[a.Name]; taken {
		e.fail("name", "%q is also the name of a model", a.Name)
	}
	base, exists := c.models[a.Base]
	if !exists {
		e.fail("base", "model %q does not exist", a.Base)
		return
	}
	if capacity := c.pools[base.Pool].memory; base.Memory+a.Memory > capacity {
		e.fail("memory", "is %d, which with the base's %d is more than the %d of the largest engine", a.Memory, base.Memory, capacity)
	}
}

func (c *checker) team(e entryChecker, t Team) {
	e.name("name", string(t.Name))
	if t.Rate <= 0 || t.Rate > team.TokensPerSecond(maxTokens) {
		e.fail("rate", "must be above 0 and at most %d tokens a second, not %v", maxTokens, t.Rate)
	}
	checkRange(e, "burst", t.Burst, 1, maxTokens)
	// The negated comparison also rejects NaN.
	if !(t.Weight > 0) || t.Weight > math.MaxInt32 {
		e.fail("weight", "must be above 0, not %v", t.Weight)
	}
	checkRange(e, "priority", t.Priority, -maxPriority, maxPriority)
	if t.WhenCutOff != CutOffRefuse && t.WhenCutOff != CutOffServe {
		e.fail("when-cut-off", "must be refuse or serve, not %q", t.WhenCutOff)
	}
	checkRange(e, "queue-entries", t.QueueEntries, 0, maxQueue)
	checkRange(e, "queue-bytes", t.QueueBytes, 0, maxQueue)
	checkRange(e, "streams", t.Streams, 1, maxQueue)
	checkReferences(e, "models", t.Models, "model or adapter", c.hasModel)
	checkReferences(e, "routes", t.Routes, "route", func(r RouteName) bool { return c.routes[r] })
	c.homes(e, t.Homes)
}

// homes checks the home regions of a team or a route. An empty list would mean that its requests
// may run nowhere.
func (c *checker) homes(e entryChecker, homes []fleet.RegionID) {
	if homes != nil && len(homes) == 0 {
		e.fail("homes", "must name a region, or be left out if requests may run anywhere")
	}
	checkReferences(e, "homes", homes, "region", func(r fleet.RegionID) bool { return c.regions[r] })
}

func (c *checker) evacuation(e entryChecker, v Evacuation) {
	if !c.domains[v.Domain] {
		e.fail("domain", "domain %q does not exist", v.Domain)
	}
}

func (c *checker) hasModel(name model.Name) bool {
	_, isModel := c.models[name]
	_, isAdapter := c.adapters[name]
	return isModel || isAdapter
}

// checkReferences checks that each name in a list exists and that none is
// repeated.
func checkReferences[N ~string](e entryChecker, field string, names []N, noun string, exists func(N) bool) {
	seen := map[N]bool{}
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", field, i)
		switch {
		case !exists(name):
			e.fail(at, "%s %q does not exist", noun, name)
		case seen[name]:
			e.fail(at, "%s %q is listed twice", noun, name)
		}
		seen[name] = true
	}
}

func (c *checker) route(e entryChecker, r Route) {
	e.name("name", string(r.Name))
	c.routePath(e, r.Path)
	if len(r.Methods) == 0 {
		e.fail("methods", "must list at least one method")
	}
	checkReferences(e, "methods", r.Methods, "method", func(m string) bool { return slices.Contains(knownMethods, m) })
	if found, exists := c.pools[r.Pool]; !exists || found.kind != target.KindService {
		e.fail("pool", "pool %q has no services", r.Pool)
	}
	checkRange(e, "cost", r.Cost, 0, maxTokens)
	checkRange(e, "deadline", r.Deadline, time.Millisecond, maxDeadline)
	checkRange(e, "body-bytes", r.BodyBytes, 0, maxBodyBytes)
	c.homes(e, r.Homes)
}

func (c *checker) routePath(e entryChecker, value string) {
	trimmed := strings.TrimRight(value, "/")
	clean := strings.HasPrefix(value, "/") && path.Clean(value) == trimmed
	if !clean || strings.ContainsAny(value, "%?#\\ \t\r\n") {
		e.fail("path", "must be a plain path such as /bookings, not %q", value)
		return
	}
	for _, reserved := range reservedPaths {
		if trimmed == reserved || strings.HasPrefix(trimmed, reserved+"/") || strings.HasPrefix(reserved, trimmed+"/") {
			e.fail("path", "%q overlaps the host's own path %s", value, reserved)
			return
		}
	}
}

func (c *checker) objective(e entryChecker, o Objective) {
	e.name("name", o.Name)
	if o.Team != "" && !c.teams[o.Team] {
		e.fail("team", "team %q does not exist", o.Team)
	}
	if o.Model != "" && !c.hasModel(o.Model) {
		e.fail("model", "model or adapter %q does not exist", o.Model)
	}
	checkRange(e, "first-token", o.FirstToken, 0, maxDeadline)
	checkRange(e, "between-tokens", o.BetweenTokens, 0, maxDeadline)
	// The negated comparison also rejects NaN.
	if !(o.Share > 0 && o.Share < 1) {
		e.fail("share", "must be above 0 and below 1, not %v", o.Share)
	}
	checkRange(e, "window", o.Window, minWindow, maxWindow)
}
