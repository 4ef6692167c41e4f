package overload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/model"
	"hawthornway/overload"
	"hawthornway/target"
	"hawthornway/team"
)

// The cost of dividing a fleet of 3,000 engines with three models each among 2,000 flows, which the
// coordinator does four times a second at most, while some models are overloaded and while none is.
func BenchmarkAllocate(b *testing.B) {
	for name, demand := range map[string]team.TokensPerSecond{"overloaded": 1000, "usual": 10} {
		b.Run(name, func(b *testing.B) { benchmarkAllocate(b, demand) })
	}
}

func benchmarkAllocate(b *testing.B, demand team.TokensPerSecond) {
	b.Helper()
	var engines []overload.Engine
	for i := range 3000 {
		e := engine(target.ID(fmt.Sprint("e", i)), team.Tokens(i))
		for n := range 3 {
			e.Models = append(e.Models, model.Name(fmt.Sprint("m", (i*3+n)%800)))
		}
		engines = append(engines, e)
	}
	var flows []overload.Flow
	for i := range 2000 {
		flows = append(flows, flow(model.Name(fmt.Sprint("m", i%800)), i%3, team.ID(fmt.Sprint("t", i%16)), demand*team.TokensPerSecond(i%200)))
	}
	for b.Loop() {
		overload.Allocate(engines, flows)
	}
}

// The cost of one admission with a hundred shares.
func BenchmarkAdmit(b *testing.B) {
	table := overload.NewTable(clockwork.NewRealClock(), time.Hour)
	var a overload.Allocation
	for i := range 100 {
		a.Shares = append(a.Shares, overload.Share{FlowID: overload.FlowID{Model: model.Name(fmt.Sprint("m", i)), Team: "t"}, Admitted: 0.5})
	}
	table.Set(map[target.Pool]overload.Allocation{"p": a}, false)
	id := overload.FlowID{Model: "m7", Team: "t"}
	for b.Loop() {
		table.Admit("p", id, "0123456789abcdef")
	}
}
