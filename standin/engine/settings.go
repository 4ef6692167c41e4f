package engine

import (
	"time"

	"hawthornway/model"
	"hawthornway/target"
)

// Settings are the figures of an engine.
type Settings struct {
	Name target.ID `yaml:"name"`
	// Memory is the accelerator memory that replicas share.
	Memory model.Bytes `yaml:"memory"`
	// HostMemory and Disk bound the near tiers of cached weights.
	HostMemory model.Bytes `yaml:"host-memory"`
	Disk       model.Bytes `yaml:"disk"`
	// HostBytesPerSecond and DiskBytesPerSecond are the speeds of loads from
	// the near tiers.
	HostBytesPerSecond model.Bytes `yaml:"host-bytes-per-second"`
	DiskBytesPerSecond model.Bytes `yaml:"disk-bytes-per-second"`
	// Slots is the number of requests in the batch, QueueEntries the number
	// that may wait beside it.
	Slots        int  `yaml:"slots"`
	QueueEntries int  `yaml:"queue-entries"`
	ChecksFence  bool `yaml:"checks-fence"`
	// StepTime is the time of one step of the batch; each request beyond the
	// first adds StepPerRequest and each prompt token PrefillPerToken.
	StepTime        time.Duration `yaml:"step-time"`
	StepPerRequest  time.Duration `yaml:"step-per-request"`
	PrefillPerToken time.Duration `yaml:"prefill-per-token"`
	// PrefillChunk bounds the prompt tokens of one step.
	PrefillChunk int `yaml:"prefill-chunk"`
	// PrefixBlocks bounds the prefix cache.
	PrefixBlocks int `yaml:"prefix-blocks"`
	// MeanAnswer is the mean length of answers in tokens.
	MeanAnswer int `yaml:"mean-answer"`
	// ReportLag is the most by which a report is late, EventLag the time by
	// which an event is, and EventLoss the part of events that never come.
	ReportLag time.Duration `yaml:"report-lag"`
	EventLag  time.Duration `yaml:"event-lag"`
	EventLoss float64       `yaml:"event-loss"`
	// LeavingGrace is the time for which a leaving engine takes new requests.
	LeavingGrace time.Duration `yaml:"leaving-grace"`
	// RestartAfter is the time that an engine that died stays down.
	RestartAfter time.Duration `yaml:"restart-after"`
	Seed         uint64        `yaml:"seed"`
}

// DefaultSettings returns the figures of a small engine.
func DefaultSettings() Settings {
	return Settings{
		Name:               "engine",
		Memory:             80 << 30,
		HostMemory:         96 << 30,
		Disk:               400 << 30,
		HostBytesPerSecond: 48 << 30,
		DiskBytesPerSecond: 24 << 30,
		Slots:              16,
		QueueEntries:       64,
		ChecksFence:        true,
		StepTime:           15 * time.Millisecond,
		StepPerRequest:     500 * time.Microsecond,
		PrefillPerToken:    50 * time.Microsecond,
		PrefillChunk:       512,
		PrefixBlocks:       4096,
		MeanAnswer:         64,
		ReportLag:          500 * time.Millisecond,
		EventLag:           time.Second,
		EventLoss:          0.05,
		LeavingGrace:       2 * time.Second,
		RestartAfter:       2 * time.Second,
		Seed:               1,
	}
}
