package openai

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/call"
	"hawthornway/model"
	"hawthornway/outcome"
	"hawthornway/retry"
	"hawthornway/target"
	"hawthornway/team"
)

// engineScript configures how a fake engine responds to an attempt.
type engineScript struct {
	// status is the HTTP status; any other than 200 is a refusal.
	status int
	// tokens is the number of tokens in the complete response.
	tokens int
	// breakAt is the token before which the stream is cut off, or negative.
	breakAt int
	// noFinish omits the finish reason.
	noFinish bool
	// otherRequest sends a response with another request's ID.
	otherRequest bool
	// tokenShift is added to the token numbers in event IDs.
	tokenShift int
	// extraUsage is added to the token count in the usage.
	extraUsage int
}

var completeScript = engineScript{status: http.StatusOK, tokens: 6, breakAt: -1}

func (s engineScript) serve(w http.ResponseWriter, r *http.Request) {
	id, attempt := r.Header.Get("X-Request-Id"), r.Header.Get("X-Attempt")
	if s.otherRequest {
		id = "another"
	}
	if s.status == http.StatusOK || s.otherRequest {
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Attempt", attempt)
	}
	if s.status != http.StatusOK {
		w.WriteHeader(s.status)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	for n := from; n < s.tokens; n++ {
		if n == s.breakAt {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %s/%s/%d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"},\"finish_reason\":null}]}\n\n", id, attempt, n+s.tokenShift, n)
		_ = http.NewResponseController(w).Flush()
	}
	if !s.noFinish {
		_, _ = fmt.Fprint(w, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n")
	}
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", s.tokens+s.extraUsage)
}

// fakePlacer returns the scripted engines one after the other.
type fakePlacer struct {
	engines []*httptest.Server
	results []retry.Result
}

func newFakePlacer(t *testing.T, scripts []engineScript) *fakePlacer {
	p := &fakePlacer{}
	for _, s := range scripts {
		server := httptest.NewServer(http.HandlerFunc(s.serve))
		t.Cleanup(server.Close)
		p.engines = append(p.engines, server)
	}
	return p
}

func (p *fakePlacer) Place(_ context.Context, _ *call.Call, _ *call.Generation, tried []target.ID) (Placement, *outcome.NotRun) {
	if len(tried) >= len(p.engines) {
		return Placement{}, &outcome.NotRun{Reason: outcome.ReasonNoTarget, RetryAfter: 1500 * time.Millisecond}
	}
	server := p.engines[len(tried)]
	return Placement{
		Target:  target.ID(fmt.Sprint("engine-", len(tried))),
		Address: server.Listener.Addr().String(),
		Done:    func(r retry.Result) { p.results = append(p.results, r) },
	}, nil
}

func (p *fakePlacer) RetryAfter(*call.Generation) time.Duration { return 1500 * time.Millisecond }

func generate(t *testing.T, p Placer, stream bool) (*call.Call, outcome.Outcome, *httptest.ResponseRecorder) {
	body := fmt.Sprintf(`{"model":"m","stream":%t,"messages":[{"role":"user","content":"hi"}]}`, stream)
	gen, err := ParseGeneration(PathChat, []byte(body), func(model.Name) team.Tokens { return 100 })
	must.NoError(t, err)
	recorder := httptest.NewRecorder()
	clock := clockwork.NewRealClock()
	c := &call.Call{
		ID: "r1", Writer: call.NewWriter(recorder), Subject: gen,
		Deadline: clock.Now().Add(10 * time.Second),
	}
	generator := NewGenerator(p, retry.NewBudget(clock), clock, func(*call.Call) int { return 0 })
	result := generator.Generate(t.Context(), c)
	WriteOutcome(c.Writer, result)
	return c, result, recorder
}

const completeText = "t0 t1 t2 t3 t4 t5 "

func TestIncompleteResponsesAreNeverServed(t *testing.T) {
	change := func(f func(*engineScript)) engineScript {
		s := completeScript
		f(&s)
		return s
	}
	cases := []struct {
		name    string
		scripts []engineScript
		want    outcome.Outcome
		reason  outcome.Reason
	}{
		{"complete", []engineScript{completeScript}, outcome.Served{}, ""},
		{"refused once", []engineScript{{status: 404}, completeScript}, outcome.Served{}, ""},
		{"cut off before the first token", []engineScript{change(func(s *engineScript) { s.breakAt = 0 }), completeScript}, outcome.Served{}, ""},
		{"cut off in the middle", []engineScript{change(func(s *engineScript) { s.breakAt = 3 }), completeScript}, outcome.Served{}, ""},
		{"cut off twice", []engineScript{change(func(s *engineScript) { s.breakAt = 2 }), change(func(s *engineScript) { s.breakAt = 4 }), completeScript}, outcome.Served{}, ""},
		{"another request's response", []engineScript{change(func(s *engineScript) { s.otherRequest = true }), completeScript}, outcome.Served{}, ""},
		{"a token skipped", []engineScript{change(func(s *engineScript) { s.tokenShift = 1 }), completeScript}, outcome.Served{}, ""},
		{"no finish reason", []engineScript{change(func(s *engineScript) { s.noFinish = true })}, outcome.Unknown{}, outcome.ReasonIncompleteResponse},
		{"fewer tokens than counted", []engineScript{change(func(s *engineScript) { s.extraUsage = 1 })}, outcome.Unknown{}, outcome.ReasonIncompleteResponse},
		{"cut off with no other engine", []engineScript{change(func(s *engineScript) { s.breakAt = 3 })}, outcome.Unknown{}, outcome.ReasonIncompleteResponse},
		{"another request's response with no other engine", []engineScript{change(func(s *engineScript) { s.otherRequest = true })}, outcome.Unknown{}, outcome.ReasonWrongResponse},
		{"another request's refusal", []engineScript{{status: 429, otherRequest: true}, completeScript}, outcome.Served{}, ""},
		{"another request's refusal with no other engine", []engineScript{{status: 429, otherRequest: true}}, outcome.Unknown{}, outcome.ReasonWrongResponse},
		{"another request's error with no other engine", []engineScript{{status: 400, otherRequest: true}}, outcome.Unknown{}, outcome.ReasonWrongResponse},
		{"another request's refusal, then a refusal", []engineScript{{status: 503, otherRequest: true}, {status: 429}}, outcome.Unknown{}, outcome.ReasonNoTarget},
		{"all engines refuse", []engineScript{{status: 429}, {status: 503}}, outcome.NotRun{}, outcome.ReasonNoTarget},
	}
	for _, tc := range cases {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/stream=%t", tc.name, stream), func(t *testing.T) {
				_, result, recorder := generate(t, newFakePlacer(t, tc.scripts), stream)
				must.EqOp(t, tc.want.Header(), result.Header())
				must.EqOp(t, tc.reason, reasonOf(result))
				if result.Header() == "not-run" {
					must.EqOp(t, "2", recorder.Header().Get("Retry-After"))
				}
				text, done := textOf(t, recorder.Body.String(), stream)
				served := tc.want.Header() == "served"
				must.EqOp(t, served, done)
				if served {
					must.EqOp(t, completeText, text)
				}
				must.True(t, strings.HasPrefix(completeText, text), must.Sprint(text))
			})
		}
	}
}

func reasonOf(result outcome.Outcome) outcome.Reason {
	switch o := result.(type) {
	case outcome.NotRun:
		return o.Reason
	case outcome.Unknown:
		return o.Reason
	default:
		return ""
	}
}

// textOf returns the text that a caller received and whether the response was
// complete.
func textOf(t *testing.T, body string, stream bool) (text string, done bool) {
	if !stream {
		var got struct {
			Choices []struct{ Message struct{ Content string } }
		}
		must.NoError(t, json.Unmarshal([]byte(body), &got))
		if len(got.Choices) == 0 {
			return "", false
		}
		return got.Choices[0].Message.Content, true
	}
	events := newEventReader(strings.NewReader(body), nil)
	for {
		next, err := events.Next()
		if err != nil {
			return text, false
		}
		if string(next.Data) == "[DONE]" {
			return text, true
		}
		c, err := parseChunk(next.Data)
		must.NoError(t, err)
		text += c.text()
	}
}

func TestInterruptedResponseIsResumedWithoutKey(t *testing.T) {
	var resumed []string
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resumed = append(resumed, r.Header.Get("X-Resume-From"))
		must.EqOp(t, "", r.Header.Get("Authorization"))
		s := completeScript
		if len(resumed) == 1 {
			s.breakAt = 4
		}
		s.serve(w, r)
	}))
	defer engine.Close()
	p := &fakePlacer{engines: []*httptest.Server{engine, engine}}
	c, result, _ := generate(t, p, true)
	must.EqOp(t, "served", result.Header())
	must.Eq(t, []string{"", "4"}, resumed)
	must.EqOp(t, 6, c.Trace.GeneratedTokens)
	must.EqOp(t, 3, c.Trace.PromptTokens)
}
