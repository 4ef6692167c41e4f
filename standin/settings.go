// Package standin runs stand-ins for the outside systems in one process, on
// loopback addresses.
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

// Settings say which stand-ins run, and with which figures. A stand-in without
// an address doesn't run. Port 0 binds any free port.
type Settings struct {
	KeyValue KeyValueSettings `yaml:"key-value"`
	Hosts    HostsSettings    `yaml:"hosts"`
	Weights  WeightsSettings  `yaml:"weights"`
	// WeightStoreAddress is that of a weight store in another process.
	WeightStoreAddress string            `yaml:"weight-store-address"`
	EngineDefaults     engine.Settings   `yaml:"engine-defaults"`
	Engines            []EngineSettings  `yaml:"engines"`
	ServiceDefaults    service.Settings  `yaml:"service-defaults"`
	Services           []ServiceSettings `yaml:"services"`
}

// KeyValueSettings are the figures of the key-value service.
type KeyValueSettings struct {
	Address string `yaml:"address"`
	// WritesPerSecond and ReadsPerSecond bound the calls; zero sets no bound.
	WritesPerSecond float64 `yaml:"writes-per-second"`
	ReadsPerSecond  float64 `yaml:"reads-per-second"`
}

// HostsSettings are the figures of the host list. The engines and services of
// the settings are on the list as well.
type HostsSettings struct {
	Address string            `yaml:"address"`
	Figures hostlist.Settings `yaml:"figures"`
	Entries []HostEntry       `yaml:"entries"`
}

// HostEntry is an entry host of the list.
type HostEntry struct {
	Name    fleet.HostID   `yaml:"name"`
	Domain  fleet.DomainID `yaml:"domain"`
	Address string         `yaml:"address"`
}

// WeightsSettings are the figures of the weight store.
type WeightsSettings struct {
	Address string           `yaml:"address"`
	Figures weights.Settings `yaml:"figures"`
}

// EngineSettings are what tells one engine from the others.
type EngineSettings struct {
	Name    target.ID      `yaml:"name"`
	Domain  fleet.DomainID `yaml:"domain"`
	Address string         `yaml:"address"`
	// Memory replaces the default unless it is zero.
	Memory model.Bytes `yaml:"memory"`
	// IgnoresFence has the engine take orders with any fence.
	IgnoresFence bool `yaml:"ignores-fence"`
}

// ServiceSettings are what tells one service from the others.
type ServiceSettings struct {
	Name    target.ID      `yaml:"name"`
	Domain  fleet.DomainID `yaml:"domain"`
	Address string         `yaml:"address"`
}

// DefaultSettings returns settings with the default figures and no stand-ins.
func DefaultSettings() Settings {
	return Settings{
		Weights:         WeightsSettings{Figures: weights.DefaultSettings()},
		EngineDefaults:  engine.DefaultSettings(),
		ServiceDefaults: service.DefaultSettings(),
	}
}

// LoadSettings reads settings from a YAML file, over the defaults.
func LoadSettings(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	settings := DefaultSettings()
	_, problems := document.Decode(path, content, &settings)
	return settings, problems.Err()
}

// engine returns the settings of the engine at an index.
func (s Settings) engine(at int) engine.Settings {
	one := s.Engines[at]
	settings := s.EngineDefaults
	settings.Name = one.Name
	settings.Seed += uint64(at)
	if one.Memory != 0 {
		settings.Memory = one.Memory
	}
	if one.IgnoresFence {
		settings.ChecksFence = false
	}
	return settings
}

// service returns the settings of the service at an index.
func (s Settings) service(at int) service.Settings {
	settings := s.ServiceDefaults
	settings.Name = s.Services[at].Name
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
