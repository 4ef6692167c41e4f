// Package standin runs stand-ins for the external systems (key-value service,
// host list, weight store, engines and services) in one process, on loopback
// addresses.
package standin

import (
	"os"

	"hawthornway/document"
	"hawthornway/fleet"
	hosts "hawthornway/hostlist"
	"hawthornway/model"
	"hawthornway/standin/engine"
	"hawthornway/standin/hostlist"
	"hawthornway/standin/service"
	"hawthornway/standin/weights"
	"hawthornway/target"
)

// Settings configure the stand-ins. A stand-in without an address is not
// started. Port 0 binds any free port.
type Settings struct {
	KeyValue KeyValueSettings `yaml:"key-value"`
	Hosts    HostsSettings    `yaml:"hosts"`
	Weights  WeightsSettings  `yaml:"weights"`
	// WeightStoreAddress is the address of a weight store in another process.
	WeightStoreAddress string            `yaml:"weight-store-address"`
	EngineDefaults     engine.Settings   `yaml:"engine-defaults"`
	Engines            []EngineSettings  `yaml:"engines"`
	ServiceDefaults    service.Settings  `yaml:"service-defaults"`
	Services           []ServiceSettings `yaml:"services"`
}

// KeyValueSettings configure the key-value service.
type KeyValueSettings struct {
	Address string `yaml:"address"`
	// WritesPerSecond and ReadsPerSecond limit the call rates; zero means no limit.
	WritesPerSecond float64 `yaml:"writes-per-second"`
	ReadsPerSecond  float64 `yaml:"reads-per-second"`
}

// HostsSettings configure the host list. It also lists the configured engines
// and services.
type HostsSettings struct {
	Address string            `yaml:"address"`
	Figures hostlist.Settings `yaml:"figures"`
	Entries []HostEntry       `yaml:"entries"`
}

// HostEntry is an entry host on the host list.
type HostEntry struct {
	Name    fleet.HostID   `yaml:"name"`
	Domain  fleet.DomainID `yaml:"domain"`
	Address string         `yaml:"address"`
}

// WeightsSettings configure the weight store.
type WeightsSettings struct {
	Address string           `yaml:"address"`
	Figures weights.Settings `yaml:"figures"`
}

// EngineSettings are the settings of a single engine; EngineDefaults hold the
// rest.
type EngineSettings struct {
	Name    target.ID      `yaml:"name"`
	Domain  fleet.DomainID `yaml:"domain"`
	Address string         `yaml:"address"`
	// Memory overrides the default unless it is zero.
	Memory model.Bytes `yaml:"memory"`
	// IgnoresFence makes the engine accept orders with any fence.
	IgnoresFence bool `yaml:"ignores-fence"`
}

// ServiceSettings are the settings of a single service; ServiceDefaults hold
// the rest.
type ServiceSettings struct {
	Name    target.ID      `yaml:"name"`
	Domain  fleet.DomainID `yaml:"domain"`
	Address string         `yaml:"address"`
}

// DefaultSettings returns the default settings, without any stand-ins.
func DefaultSettings() Settings {
	return Settings{
		Weights:         WeightsSettings{Figures: weights.DefaultSettings()},
		EngineDefaults:  engine.DefaultSettings(),
		ServiceDefaults: service.DefaultSettings(),
	}
}

// LoadSettings reads settings from a YAML file; missing fields keep their
// defaults.
func LoadSettings(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	settings := DefaultSettings()
	_, problems := document.Decode(path, content, &settings)
	return settings, problems.Err()
}

// engineSettings returns the settings of the engine at the index.
func (s Settings) engineSettings(index int) engine.Settings {
	overrides := s.Engines[index]
	settings := s.EngineDefaults
	settings.Name = overrides.Name
	settings.Seed += uint64(index)
	if overrides.Memory != 0 {
		settings.Memory = overrides.Memory
	}
	if overrides.IgnoresFence {
		settings.ChecksFence = false
	}
	return settings
}

// serviceSettings returns the settings of the service at the index.
func (s Settings) serviceSettings(index int) service.Settings {
	settings := s.ServiceDefaults
	settings.Name = s.Services[index].Name
	return settings
}

func (e HostEntry) entry() hosts.Entry {
	return hosts.Entry{
		Name:    string(e.Name),
		Kind:    hosts.KindHost,
		Domain:  e.Domain,
		Address: e.Address,
		State:   hosts.StateLive,
	}
}

func targetEntry(name target.ID, domain fleet.DomainID, address string) hosts.Entry {
	return hosts.Entry{
		Name:    string(name),
		Kind:    hosts.KindTarget,
		Domain:  domain,
		Address: address,
		State:   hosts.StateLive,
	}
}
