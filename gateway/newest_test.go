package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/coordinator"
)

// A store that has returned from an older copy may have an older configuration, with keys
// that were withdrawn.
func TestConfigurationOfReturnedStore(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		reading storeReading
		want    bool
	}{
		{"store that never returned", storeReading{version: 2}, true},
		{"first start", storeReading{version: 2, restored: true, firstStart: true}, true},
		{"host that ran at the return", storeReading{version: 2, newest: 2, restored: true, fresh: true}, true},
		{"older than a host's", storeReading{version: 1, newest: 2, restored: true, leads: true, termAge: time.Hour}, false},
		{"older than the coordinator's", storeReading{version: 1, newest: 2, fresh: true, named: true}, false},
		{"starting host, nothing named yet", storeReading{version: 1, restored: true}, false},
		{"starting host, named by the coordinator", storeReading{version: 2, newest: 2, restored: true, named: true}, true},
		{"starting host, recorded in the store", storeReading{version: 2, restored: true, recorded: true}, true},
		{"older than a host's, recorded in the store", storeReading{version: 2, newest: 3, restored: true, recorded: true}, false},
		{"starting host, alone", storeReading{version: 1, restored: true, isolated: true}, true},
		{"starting coordinator, before the reports", storeReading{version: 1, restored: true, leads: true, termAge: coordinator.ReportTime - 1}, false},
		{"starting coordinator, after one older report", storeReading{version: 1, newest: 1, restored: true, leads: true}, false},
		{"starting coordinator, after all reports", storeReading{version: 1, newest: 1, restored: true, leads: true, termAge: coordinator.ReportTime}, true},
		{"back after a long cut, named before it", storeReading{version: 1, newest: 1, restored: true}, false},
	}
	for _, tc := range cases {
		must.Eq(t, tc.want, tc.reading.isNewest(), must.Sprint(tc.name))
	}
}
