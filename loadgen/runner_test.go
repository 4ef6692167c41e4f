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

var testCompletion = workload.Completion{Model: "m", Prompt: "hello", MaxTokens: 4}

// writeStream writes a streamed answer in the format of a host, with the reported
// outcome in the trailer.
func writeStream(w http.ResponseWriter, words []string, reported string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Trailer", call.HeaderOutcome)
	for _, word := range words {
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", word)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
	w.Header().Set(call.HeaderOutcome, reported)
}

func TestRunnerRecordsOutcomes(t *testing.T) {
	text, tokens, err := engine.ExpectedAnswer(testCompletion.Body(), meanAnswer)
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
			handler: func(w http.ResponseWriter, _ *http.Request) { writeStream(w, words, "served") },
			want:    Result{Outcome: OutcomeServed, Status: 200, Tokens: tokens},
		},
		{
			name:    "answer to another request",
			handler: func(w http.ResponseWriter, _ *http.Request) { writeStream(w, []string{"x "}, "served") },
			want:    Result{Outcome: OutcomeServed, Status: 200, Tokens: 1, Wrong: true},
		},
		{
			name: "refused",
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(call.HeaderOutcome, "not-run")
				w.WriteHeader(http.StatusTooManyRequests)
				fmt.Fprint(w, `{"error":{"code":"rate"}}`)
			},
			want: Result{Outcome: OutcomeNotRun, Status: 429, Reason: outcome.ReasonRate},
		},
		{
			name:    "connection closed",
			handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			want:    Result{Outcome: OutcomeNone},
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
			results := runner.Run(t.Context(), []workload.Arrival{{Team: "a", Work: testCompletion}})
			must.Len(t, 1, results)
			got := results[0]
			must.Eq(t, c.want.Outcome == OutcomeNone, got.Err != "")
			must.Eq(t, c.want.Tokens > 0, got.FirstToken > 0)
			must.Eq(t, c.want, Result{Outcome: got.Outcome, Status: got.Status, Reason: got.Reason, Tokens: got.Tokens, Wrong: got.Wrong})
		})
	}
}
