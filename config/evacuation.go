package config

import (
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
)

// EvacuationFile is the name of the file that holds the evacuations which operators begin and end
// by command. It comes late in the order of names, so that it rarely collides with other files.
const EvacuationFile = "zz-evacuations.yaml"

// Evacuate returns files that evacuate a domain beside what they did before. It reports false if
// they did so already.
func Evacuate(files []File, domain fleet.DomainID) ([]File, bool, error) {
	c, err := mergeAccepted(files)
	if err != nil {
		return nil, false, trace.Wrap(err)
	}
	if !slices.ContainsFunc(c.Domains, func(d Domain) bool { return d.Name == domain }) {
		return nil, false, trace.NotFound("domain %q does not exist", domain)
	}
	if evacuates(c, domain) {
		return files, false, nil
	}
	domains := append(ownEvacuations(files), domain)
	return withEvacuations(files, domains), true, nil
}

// EndEvacuation returns files that no longer evacuate a domain. It reports false if they didn't.
// An evacuation that an operator has written to another file has to be ended there.
func EndEvacuation(files []File, domain fleet.DomainID) ([]File, bool, error) {
	c, err := mergeAccepted(files)
	if err != nil {
		return nil, false, trace.Wrap(err)
	}
	if !evacuates(c, domain) {
		return files, false, nil
	}
	isDomain := func(other fleet.DomainID) bool { return other == domain }
	changed := withEvacuations(files, slices.DeleteFunc(ownEvacuations(files), isDomain))
	for _, f := range changed {
		if evacuates(fileConfig(changed, f.Name), domain) {
			return nil, false, trace.BadParameter("domain %q is evacuated by file %q; end it there and apply the folder", domain, f.Name)
		}
	}
	return changed, true, nil
}

func evacuates(c Config, domain fleet.DomainID) bool {
	return slices.ContainsFunc(c.Evacuations, func(e Evacuation) bool { return e.Domain == domain })
}

// ownEvacuations returns the domains that EvacuationFile evacuates.
func ownEvacuations(files []File) []fleet.DomainID {
	var domains []fleet.DomainID
	for _, e := range fileConfig(files, EvacuationFile).Evacuations {
		domains = append(domains, e.Domain)
	}
	return domains
}

// withEvacuations returns files whose EvacuationFile evacuates the given domains. Without any, it
// has none.
func withEvacuations(files []File, domains []fleet.DomainID) []File {
	others := slices.DeleteFunc(slices.Clone(files), func(f File) bool { return f.Name == EvacuationFile })
	if len(domains) == 0 {
		return others
	}
	var text strings.Builder
	text.WriteString("evacuations:\n")
	for _, domain := range domains {
		text.WriteString("  - domain: " + string(domain) + "\n")
	}
	return append(others, File{Name: EvacuationFile, Data: []byte(text.String())})
}
