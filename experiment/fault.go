// Package experiment runs planned traffic against a deployment, in most cases with
// a fault during the middle third of the measured run.
package experiment

import (
	"time"

	"hawthornway/fleet"
	"hawthornway/standin/kvstore"
	"hawthornway/standin/weights"
)

// Case names a test case, which determines the fault.
type Case string

// The test cases.
const (
	CaseSteady         Case = "steady"
	CaseHostKilled     Case = "host-killed"
	CaseDomainCut      Case = "domain-cut"
	CasePlatformOutage Case = "platform-outage"
	CaseSlowWeights    Case = "slow-weights"
)

// Cases returns all test cases.
func Cases() []Case {
	return []Case{CaseSteady, CaseHostKilled, CaseDomainCut, CasePlatformOutage, CaseSlowWeights}
}

// Parameters of the faults.
const (
	// failoverDelay is the time from the death of a host until the balancer
	// avoids it.
	failoverDelay = time.Second
	// weightsSlowdown is the factor by which the weight store's request rate and
	// transfer speed are reduced.
	weightsSlowdown = 4
	// killedHostIndex is the index of the host that CaseHostKilled kills.
	killedHostIndex = 0
)

// startFault starts the fault of the case.
func (e *Experiment) startFault() error {
	switch e.settings.Case {
	case CaseHostKilled:
		time.AfterFunc(failoverDelay, func() { e.balancer.avoid(killedHostIndex) })
		return e.hosts.Kill(killedHostIndex)
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

// stopFault ends the fault. A killed host is not restarted.
func (e *Experiment) stopFault() {
	e.standins.KeyValue.SetFaults(kvstore.Faults{})
	e.standins.Weights.SetFaults(weights.Faults{})
	if e.links != nil {
		e.links.Heal()
	}
}

// cutDomain returns the domain that is cut off, which is that of the last host.
func (e *Experiment) cutDomain() fleet.DomainID {
	hosts := e.settings.Deployment.Hosts
	return hosts[len(hosts)-1].Settings.Domain
}

// faultedHosts returns the indexes of the hosts affected by the fault.
func (e *Experiment) faultedHosts() map[int]bool {
	faulted := make(map[int]bool)
	switch e.settings.Case {
	case CaseHostKilled:
		faulted[killedHostIndex] = true
	case CaseDomainCut:
		for i, host := range e.settings.Deployment.Hosts {
			faulted[i] = host.Settings.Domain == e.cutDomain()
		}
	case CaseSteady, CasePlatformOutage, CaseSlowWeights:
	}
	return faulted
}

// killedHosts returns the indexes of the hosts that are killed.
func (e *Experiment) killedHosts() map[int]bool {
	if e.settings.Case == CaseHostKilled {
		return map[int]bool{killedHostIndex: true}
	}
	return nil
}
