package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// chatRequest returns the body of the demo's chat request.
func chatRequest() []byte {
	text, err := json.Marshal(map[string]any{
		"model":      modelName,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
		"max_tokens": 24,
		"stream":     true,
	})
	if err != nil {
		panic("demo: encoding the chat request: " + err.Error())
	}
	return text
}

// streamChat sends a chat request, streams the answer to the output and returns
// the time to the first token.
func (d *Demo) streamChat(ctx context.Context) (time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.url("/v1/chat/completions"), bytes.NewReader(chatRequest()))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+d.key)
	start := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, trace.BadParameter("chat request failed with status %s", response.Status)
	}
	return d.printEvents(bufio.NewScanner(response.Body), start)
}

// printEvents prints the text of the events as they arrive and returns the time
// from start to the first text.
func (d *Demo) printEvents(lines *bufio.Scanner, start time.Time) (time.Duration, error) {
	var first time.Duration
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			fmt.Fprintln(d.out)
			return first, nil
		}
		text := eventText(data)
		if first == 0 && text != "" {
			first = time.Since(start)
		}
		fmt.Fprint(d.out, text)
	}
	return 0, trace.BadParameter("the response ended before [DONE]: %v", lines.Err())
}

// eventText returns the text of an event.
func eventText(data string) string {
	var event struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &event); err != nil || len(event.Choices) == 0 {
		return ""
	}
	return event.Choices[0].Delta.Content
}
