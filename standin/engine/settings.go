package engine

import (
	"time"

	"hawthornway/model"
	"hawthornway/target"
)

// Settings configure an engine.
type Settings struct {
	Name target.ID `yaml:"name"`
	// Memory is the accelerator memory shared by the replicas.
	Memory model.Bytes `yaml:"memory"`
	// HostMemory and Disk are the capacities of the two local weight caches.
	HostMemory model.Bytes `yaml:"host-memory"`
	Disk       model.Bytes `yaml:"disk"`
	// HostBytesPerSecond and DiskBytesPerSecond are the speeds of loads from
	// the local weight caches.
	HostBytesPerSecond model.Bytes `yaml:"host-bytes-per-second"`
	DiskBytesPerSecond model.Bytes `yaml:"disk-bytes-per-second"`
	// Slots is the maximum number of requests in the batch, QueueEntries the
	// maximum number in the queue.
	Slots        int  `yaml:"slots"`
	QueueEntries int  `yaml:"queue-entries"`
	ChecksFence  bool `yaml:"checks-fence"`
	// StepTime is the duration of a batch step with one request; each further
	// request adds StepPerRequest and each prompt token PrefillPerToken.
	StepTime        time.Duration `yaml:"step-time"`
	StepPerRequest  time.Duration `yaml:"step-per-request"`
	PrefillPerToken time.Duration `yaml:"prefill-per-token"`
	// PrefillChunk is the maximum number of prompt tokens in a step.
	PrefillChunk int `yaml:"prefill-chunk"`
	// PrefixBlocks is the capacity of the prefix cache.
	PrefixBlocks int `yaml:"prefix-blocks"`
	// MeanAnswer is the mean answer length in tokens.
	MeanAnswer int `yaml:"mean-answer"`
	// ReportLag is the maximum age of a report, EventLag the delay of events,
	// and EventLoss the fraction of events that are lost.
	ReportLag time.Duration `yaml:"report-lag"`
	EventLag  time.Duration `yaml:"event-lag"`
	EventLoss float64       `yaml:"event-loss"`
	// DrainGrace is how long a draining engine still accepts new requests.
	DrainGrace time.Duration `yaml:"leaving-grace"`
	// RestartDelay is the time from a crash to the restart.
	RestartDelay time.Duration `yaml:"restart-after"`
	Seed         uint64        `yaml:"seed"`
}

// DefaultSettings returns the settings of a small engine.
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
		DrainGrace:         2 * time.Second,
		RestartDelay:       2 * time.Second,
		Seed:               1,
	}
}
