// Package experiment runs one case: a plan of traffic against a deployment, with
// a fault in the middle third of the run.
package experiment

import (
	"time"

	"hawthornway/fleet"
	"hawthornway/standin/kvstore"
	"hawthornway/standin/weights"
)

// Case names a case.
type Case string

// The cases.
const (
	CaseSteady         Case = "steady"
	CaseHostKilled     Case = "host-killed"
	CaseDomainCut      Case = "domain-cut"
	CasePlatformOutage Case = "platform-outage"
	CaseSlowWeights    Case = "slow-weights"
)

// Cases returns all cases.
func Cases() []Case {
	return []Case{CaseSteady, CaseHostKilled, CaseDomainCut, CasePlatformOutage, CaseSlowWeights}
}

// The figures of the faults.
const (
	// noticeDelay is the time after which the balancer avoids a dead host.
	noticeDelay = time.Second
	// weightsSlowdown divides the weight store's rate and speed.
	weightsSlowdown = 4
	// killedHost is the index of the host that is killed.
	killedHost = 0
)

// begin switches the case's fault on.
func (e *Experiment) begin() error {
	switch e.settings.Case {
	case CaseHostKilled:
		time.AfterFunc(noticeDelay, func() { e.balancer.avoid(killedHost) })
		return e.hosts.Kill(killedHost)
	case CasePlatformOutage:
		e.standins.KeyValue.SetFaults(kvstore.Faults{Outage: true})
	case CaseSlowWeights:
		e.standins.Weights.SetFaults(weights.Faults{Slowdown: weightsSlowdown})
	case CaseDomainCut:
		e.links.Cut(e.cutDomain())
	case CaseSteady:
	}
	return nil
}

// end switches the fault off. A killed host stays dead.
func (e *Experiment) end() {
	e.standins.KeyValue.SetFaults(kvstore.Faults{})
	e.standins.Weights.SetFaults(weights.Faults{})
	if e.links != nil {
		e.links.Heal()
	}
}

// cutDomain returns the domain that is cut off: that of the last host.
func (e *Experiment) cutDomain() fleet.DomainID {
	hosts := e.settings.Deployment.Hosts
	return hosts[len(hosts)-1].Settings.Domain
}

// faulted returns the indexes of the hosts that the fault touches.
func (e *Experiment) faulted() map[int]bool {
	faulted := make(map[int]bool)
	switch e.settings.Case {
	case CaseHostKilled:
		faulted[killedHost] = true
	case CaseDomainCut:
		for i, host := range e.settings.Deployment.Hosts {
			faulted[i] = host.Settings.Domain == e.cutDomain()
		}
	case CaseSteady, CasePlatformOutage, CaseSlowWeights:
	}
	return faulted
}

// killed returns the indexes of the hosts that are killed.
func (e *Experiment) killed() map[int]bool {
	if e.settings.Case == CaseHostKilled {
		return map[int]bool{killedHost: true}
	}
	return nil
}
