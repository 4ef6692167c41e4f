package loadgen

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/call"
	"hawthornway/outcome"
	"hawthornway/standin/engine"
	"hawthornway/team"
	"hawthornway/workload"
)

const meanAnswer = 8

var question = workload.Completion{Model: "m", Prompt: "hello", MaxTokens: 4}

// stream writes an answer's words as a host does.
func stream(w http.ResponseWriter, words []string, ending string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Trailer", call.HeaderOutcome)
	for _, word := range words {
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", word)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
	w.Header().Set(call.HeaderOutcome, ending)
}

func TestEndings(t *testing.T) {
	text, tokens, err := engine.ExpectedAnswer(question.Body(), meanAnswer)
	must.NoError(t, err)
	words := strings.SplitAfter(strings.TrimSuffix(text, " "), " ")
	words[len(words)-1] += " "
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    Result
	}{
		{
			name:    "served",
			handler: func(w http.ResponseWriter, _ *http.Request) { stream(w, words, "served") },
			want:    Result{Ending: EndingServed, Status: 200, Tokens: tokens},
		},
		{
			name:    "another's answer",
			handler: func(w http.ResponseWriter, _ *http.Request) { stream(w, []string{"x "}, "served") },
			want:    Result{Ending: EndingServed, Status: 200, Tokens: 1, Wrong: true},
		},
		{
			name: "refused",
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(call.HeaderOutcome, "not-run")
				w.WriteHeader(http.StatusTooManyRequests)
				fmt.Fprint(w, `{"error":{"code":"rate"}}`)
			},
			want: Result{Ending: EndingNotRun, Status: 429, Reason: outcome.ReasonRate},
		},
		{
			name:    "cut",
			handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			want:    Result{Ending: EndingNone},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			runner := NewRunner(Settings{
				Address:    func(int) string { return server.Listener.Addr().String() },
				Keys:       map[team.ID]string{"a": "k"},
				Deadline:   time.Second,
				MeanAnswer: meanAnswer,
			})
			results := runner.Run(t.Context(), []workload.Arrival{{Team: "a", Work: question}})
			must.Len(t, 1, results)
			got := results[0]
			must.Eq(t, c.want.Ending == EndingNone, got.Err != "")
			must.Eq(t, c.want.Tokens > 0, got.FirstToken > 0)
			must.Eq(t, c.want, Result{Ending: got.Ending, Status: got.Status, Reason: got.Reason, Tokens: got.Tokens, Wrong: got.Wrong})
		})
	}
}
