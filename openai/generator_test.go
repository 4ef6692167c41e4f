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

// script is what a fake engine does with an attempt.
type script struct {
	// status refuses the attempt when it is not 200.
	status int
	// tokens is the number of tokens of the whole answer.
	tokens int
	// breakAt breaks the stream off before this token; negative never does.
	breakAt int
	// noFinish leaves out the finish reason.
	noFinish bool
	// otherRequest answers with another request's id.
	otherRequest bool
	// shift is added to the token numbers of events.
	shift int
	// usage is added to the true count of tokens.
	usage int
}

var wholeScript = script{status: http.StatusOK, tokens: 6, breakAt: -1}

func (s script) serve(w http.ResponseWriter, r *http.Request) {
	if s.status != http.StatusOK {
		w.WriteHeader(s.status)
		return
	}
	id, attempt := r.Header.Get("X-Request-Id"), r.Header.Get("X-Attempt")
	if s.otherRequest {
		id = "another"
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Attempt", attempt)
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	for n := from; n < s.tokens; n++ {
		if n == s.breakAt {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %s/%s/%d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"},\"finish_reason\":null}]}\n\n", id, attempt, n+s.shift, n)
		_ = http.NewResponseController(w).Flush()
	}
	if !s.noFinish {
		_, _ = fmt.Fprint(w, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n")
	}
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", s.tokens+s.usage)
}

// fakePlacer gives the scripted engines one after the other.
type fakePlacer struct {
	engines []*httptest.Server
	results []retry.Result
}

func newFakePlacer(t *testing.T, scripts []script) *fakePlacer {
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
	ended := generator.Generate(t.Context(), c)
	WriteOutcome(c.Writer, ended)
	return c, ended, recorder
}

const wholeText = "t0 t1 t2 t3 t4 t5 "

func TestAnswersAreWholeOrHonest(t *testing.T) {
	change := func(f func(*script)) script {
		s := wholeScript
		f(&s)
		return s
	}
	cases := []struct {
		name    string
		scripts []script
		want    outcome.Outcome
		reason  outcome.Reason
	}{
		{"whole", []script{wholeScript}, outcome.Served{}, ""},
		{"refused once", []script{{status: 404}, wholeScript}, outcome.Served{}, ""},
		{"broken off before the first token", []script{change(func(s *script) { s.breakAt = 0 }), wholeScript}, outcome.Served{}, ""},
		{"broken off in the middle", []script{change(func(s *script) { s.breakAt = 3 }), wholeScript}, outcome.Served{}, ""},
		{"broken off twice", []script{change(func(s *script) { s.breakAt = 2 }), change(func(s *script) { s.breakAt = 4 }), wholeScript}, outcome.Served{}, ""},
		{"another request's answer", []script{change(func(s *script) { s.otherRequest = true }), wholeScript}, outcome.Served{}, ""},
		{"a token left out", []script{change(func(s *script) { s.shift = 1 }), wholeScript}, outcome.Served{}, ""},
		{"no finish reason", []script{change(func(s *script) { s.noFinish = true })}, outcome.Unknown{}, outcome.ReasonShortAnswer},
		{"fewer tokens than counted", []script{change(func(s *script) { s.usage = 1 })}, outcome.Unknown{}, outcome.ReasonShortAnswer},
		{"broken off for good", []script{change(func(s *script) { s.breakAt = 3 })}, outcome.Unknown{}, outcome.ReasonShortAnswer},
		{"another's answer only", []script{change(func(s *script) { s.otherRequest = true })}, outcome.Unknown{}, outcome.ReasonWrongAnswer},
		{"all refuse", []script{{status: 429}, {status: 503}}, outcome.NotRun{}, outcome.ReasonNoTarget},
	}
	for _, tc := range cases {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/stream=%t", tc.name, stream), func(t *testing.T) {
				_, ended, recorder := generate(t, newFakePlacer(t, tc.scripts), stream)
				must.EqOp(t, tc.want.Header(), ended.Header())
				must.EqOp(t, tc.reason, reasonOf(ended))
				if ended.Header() == "not-run" {
					must.EqOp(t, "2", recorder.Header().Get("Retry-After"))
				}
				text, done := textOf(t, recorder.Body.String(), stream)
				served := tc.want.Header() == "served"
				must.EqOp(t, served, done)
				if served {
					must.EqOp(t, wholeText, text)
				}
				must.True(t, strings.HasPrefix(wholeText, text), must.Sprint(text))
			})
		}
	}
}

func reasonOf(ended outcome.Outcome) outcome.Reason {
	switch o := ended.(type) {
	case outcome.NotRun:
		return o.Reason
	case outcome.Unknown:
		return o.Reason
	default:
		return ""
	}
}

// textOf returns the text that a caller got and whether it saw a whole answer.
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
	events := newEventReader(strings.NewReader(body))
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

func TestEngineSeesNoKeyAndResumesWhereItBroke(t *testing.T) {
	var resumed []string
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resumed = append(resumed, r.Header.Get("X-Resume-From"))
		must.EqOp(t, "", r.Header.Get("Authorization"))
		s := wholeScript
		if len(resumed) == 1 {
			s.breakAt = 4
		}
		s.serve(w, r)
	}))
	defer engine.Close()
	p := &fakePlacer{engines: []*httptest.Server{engine, engine}}
	c, ended, _ := generate(t, p, true)
	must.EqOp(t, "served", ended.Header())
	must.Eq(t, []string{"", "4"}, resumed)
	must.EqOp(t, 6, c.Trace.GeneratedTokens)
	must.EqOp(t, 3, c.Trace.PromptTokens)
}
