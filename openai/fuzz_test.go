package openai

import (
	"encoding/json"
	"strings"
	"testing"

	"hawthornway/model"
	"hawthornway/team"
)

// FuzzParseGeneration checks that each accepted body yields an engine body that
// is a JSON object and requests a stream with a seed.
func FuzzParseGeneration(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"hi"}]}`,
		`{"model":"m","prompt":"سؤال","max_tokens":5,"seed":1,"stream":true}`,
		`{"model":"m","messages":[{"role":"user","content":"a"}],"stream":false,"n":1}`,
		`{"MODEL":"m","model":"n","prompt":"x"}`,
		`{"model":"m","prompt":"x","max_completion_tokens":1e3}`,
		`{"a":{"b":[[[[]]]]}}`, `[]`, `{`, `{"model":"m"}{}`, "\xff",
	} {
		f.Add(PathChat, seed)
		f.Add(PathCompletions, seed)
	}
	f.Fuzz(func(t *testing.T, path, body string) {
		gen, err := ParseGeneration(path, []byte(body), func(model.Name) team.Tokens { return 100 })
		if err != nil {
			return
		}
		var fields map[string]any
		if err := json.Unmarshal(gen.EngineBody, &fields); err != nil {
			t.Fatalf("engine's body is not an object: %v: %s", err, gen.EngineBody)
		}
		if fields["stream"] != true || fields["seed"] == nil {
			t.Fatalf("engine's body has no stream or no seed: %s", gen.EngineBody)
		}
		if gen.MaxTokens < 1 || gen.MaxTokens > 100 {
			t.Fatalf("MaxTokens is %d, want 1 to 100", gen.MaxTokens)
		}
	})
}

// FuzzEvents checks that no engine stream makes the event reader panic or return
// an event larger than maxEventBytes.
func FuzzEvents(f *testing.F) {
	f.Add("id: r/1/0\ndata: {\"choices\":[]}\n\ndata: [DONE]\n\n")
	f.Add("data: a\ndata: b\r\n\r\n: comment\n\n")
	f.Add("data")
	f.Add("id: r/x/0\ndata: {")
	f.Fuzz(func(t *testing.T, stream string) {
		events := newEventReader(strings.NewReader(stream), nil)
		for {
			next, err := events.Next()
			if err != nil {
				return
			}
			if len(next.Data) > maxEventBytes {
				t.Fatalf("event has %d bytes", len(next.Data))
			}
			_, _ = parseEventID(next.ID)
			_, _ = parseChunk(next.Data)
		}
	})
}
