package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/roster"
	"hawthornway/target"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func crash(engine, request string, parts ...Part) Crash {
	return Crash{Target: target.ID(engine), Start: 1, Request: request, Parts: parts}
}

// Only a part that several engines crashed under, for several requests, and that no
// response was ever completed with, may be quarantined.
func TestDetectorTellsCauseFromBystanders(t *testing.T) {
	cases := []struct {
		name    string
		sound   []Part
		crashes []Crash
		want    []Part
	}{
		{"two engines", nil, []Crash{crash("a", "1", "x"), crash("b", "2", "x")}, nil},
		{"three engines", nil, []Crash{crash("a", "1", "x"), crash("b", "2", "x"), crash("c", "3", "x")}, []Part{"x"}},
		{"one request, sent to many engines", nil, []Crash{crash("a", "1", "x"), crash("b", "1", "x"), crash("c", "1", "x"), crash("d", "1", "x")}, nil},
		{"one engine, with many requests", nil, []Crash{crash("a", "1", "x"), crash("a", "2", "x"), crash("a", "3", "x"), crash("a", "4", "x")}, nil},
		{"other parts of the same requests are known", []Part{"y"}, []Crash{crash("a", "1", "y", "x"), crash("b", "2", "y", "x"), crash("c", "3", "y", "x")}, []Part{"x"}},
		{"bystanders", nil, []Crash{crash("a", "1", "x"), crash("a", "2", "y"), crash("b", "3", "x"), crash("b", "4", "z"), crash("c", "5", "x")}, []Part{"x"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := NewDetector()
			for _, part := range tc.sound {
				must.False(t, d.RecordSound(start, part))
			}
			var got []Part
			for i, c := range tc.crashes {
				c.At = start.Add(time.Duration(i) * time.Second)
				got = append(got, d.RecordCrash(c.At, c)...)
			}
			must.Eq(t, tc.want, got)
		})
	}
}

func TestDetectorForgetsAndReleases(t *testing.T) {
	crashes := []Crash{crash("a", "1", "x"), crash("b", "2", "x"), crash("c", "3", "x")}
	cases := []struct {
		name string
		// pause is the time between two crashes, and later the time after the last one.
		pause, later time.Duration
		sound        bool
		want         bool
	}{
		{"quarantined", time.Second, Duration - time.Second, false, true},
		{"quarantine ends", time.Second, Duration + time.Second, false, false},
		{"a complete response ends it", time.Second, time.Second, true, false},
		{"old crashes", crashTTL, 0, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d, now := NewDetector(), start
			for _, c := range crashes {
				now = now.Add(tc.pause)
				c.At = now
				d.RecordCrash(now, c)
			}
			if now = now.Add(tc.later); tc.sound {
				must.True(t, d.RecordSound(now, "x"))
			}
			must.Eq(t, tc.want, d.Quarantined(now, "x"))
		})
	}
}

// Engines crash under one part, and also for no reason. Whatever the traffic, the part
// must be quarantined after a few crashes, and no part that is ever answered.
func TestDetectorInRandomTraffic(t *testing.T) {
	const (
		parts   = 60
		engines = 30
		// maxCrashes is how many engines may crash under the part.
		maxCrashes = 5
	)
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 0))
		d, now, starts := NewDetector(), start, map[target.ID]roster.StartID{}
		for i := range parts { // all sound parts were in use before
			d.RecordSound(now, Part(fmt.Sprint(i)))
		}
		culprit, crashes := Part("x"), 0
		for request := 0; request < 2000 && crashes < 20; request++ {
			now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
			engine := target.ID(fmt.Sprint(random.IntN(engines)))
			prompt := []Part{Part(fmt.Sprint(random.IntN(4))), Part(fmt.Sprint(4 + random.IntN(parts-4)))}
			faulty := random.IntN(20) == 0
			if faulty {
				prompt[1] = culprit
			}
			if slices.ContainsFunc(prompt, func(p Part) bool { return d.Quarantined(now, p) }) {
				must.True(t, faulty, must.Sprint(seed))
				continue
			}
			if !faulty && random.IntN(10) != 0 {
				for _, p := range prompt {
					d.RecordSound(now, p)
				}
				continue
			}
			if faulty {
				crashes++
			}
			bystander := []Part{Part(fmt.Sprint(random.IntN(4))), Part(fmt.Sprint(4 + random.IntN(parts-4)))}
			for i, p := range [][]Part{prompt, bystander} {
				d.RecordCrash(now, Crash{Target: engine, Start: starts[engine], Request: fmt.Sprint(request, i), Parts: p, At: now})
			}
			starts[engine]++
		}
		must.LessEq(t, maxCrashes, crashes, must.Sprint(seed))
	}
}

// Callers choose the parts. However many they send, the Detector's state is bounded, and
// the latest suspects stay.
func TestDetectorIsBounded(t *testing.T) {
	d, now := NewDetector(), start
	for i := range 3 * maxSound {
		now = now.Add(time.Millisecond)
		d.RecordSound(now, Part(fmt.Sprint("s", i)))
	}
	for i := range 2 * maxSuspects {
		now = now.Add(time.Millisecond)
		c := crash("a", fmt.Sprint(i), Part(fmt.Sprint(i)))
		c.At = now
		d.RecordCrash(now, c)
	}
	must.LessEq(t, maxSound, len(d.sound.recent)+len(d.sound.previous))
	must.LessEq(t, maxSuspects, len(d.suspects))
	last := Part(fmt.Sprint(2*maxSuspects - 1))
	must.SliceLen(t, 1, d.suspects[last])
}
