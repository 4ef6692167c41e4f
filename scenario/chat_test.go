package scenario

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rogpeppe/go-internal/testscript"
)

// chatTimeout bounds one chat.
const chatTimeout = 60 * time.Second

// chat streams one completion with OpenAI's own client and prints its text:
// chat ADDRESS KEY MODEL PROMPT. With "!" it must be refused.
func chat(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 4 {
		ts.Fatalf("usage: chat ADDRESS KEY MODEL PROMPT")
	}
	text, err := streamChat(args[0], args[1], args[2], args[3])
	if neg {
		if err == nil {
			ts.Fatalf("chat was served: %s", text)
		}
		_, _ = fmt.Fprintln(ts.Stdout(), err, codeOf(err))
		return
	}
	ts.Check(err)
	_, _ = fmt.Fprintln(ts.Stdout(), text)
}

// detailOf returns the whole body of a refusal.
func detailOf(err error) string {
	var refused *openai.Error
	if errors.As(err, &refused) {
		return refused.RawJSON()
	}
	return ""
}

// codeOf returns the error code of a refusal.
func codeOf(err error) string {
	var refused *openai.Error
	if errors.As(err, &refused) {
		return refused.Code
	}
	return ""
}

// streamChat returns the text of a whole streamed answer.
func streamChat(address, key, model, prompt string) (string, error) {
	client := openai.NewClient(
		option.WithBaseURL("http://"+address+"/v1/"),
		option.WithAPIKey(key),
		option.WithMaxRetries(0),
	)
	ctx, cancel := context.WithTimeout(context.Background(), chatTimeout)
	defer cancel()
	stream := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model:         model,
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxTokens:     openai.Int(40),
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	})
	whole := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		whole.AddChunk(stream.Current())
	}
	if err := stream.Err(); err != nil {
		return "", err
	}
	if len(whole.Choices) == 0 || whole.Choices[0].FinishReason == "" {
		return "", fmt.Errorf("the answer has no finish reason")
	}
	if whole.Usage.CompletionTokens == 0 {
		return "", fmt.Errorf("the answer has no usage")
	}
	return whole.Choices[0].Message.Content, nil
}

// chats streams many completions, a number at once, while the script goes on;
// "chats wait" waits for them. All must be served whole. A host that can't be
// connected to is passed over, as a balancer does:
// chats start ADDRESS[,ADDRESS]... KEY MODEL COUNT AT-ONCE, chats wait. To send to
// the hosts of domain d1 but one: chats start-except HOST IP KEY MODEL COUNT
// AT-ONCE.
func chats(ts *testscript.TestScript, neg bool, args []string) {
	switch {
	case neg || len(args) == 0:
		ts.Fatalf("usage: chats start ADDRESS KEY MODEL COUNT AT-ONCE | chats wait")
	case args[0] == "wait":
		waitChats(ts)
	case len(args) == 7 && args[0] == "start-except":
		chats(ts, neg, append([]string{"start", othersThan(args[1], args[2])}, args[3:]...))
	case len(args) == 6:
		count, err := strconv.Atoi(args[4])
		ts.Check(err)
		atOnce, err := strconv.Atoi(args[5])
		ts.Check(err)
		startChats(ts, args[1], args[2], args[3], count, atOnce)
	}
}

// othersThan returns the callers' addresses of the hosts of domain d1 but one.
func othersThan(host, ip string) string {
	var addresses []string
	for _, other := range []string{"h1", "h4", "h5"} {
		if other != host {
			addresses = append(addresses, ip+":7"+other[1:]+"01")
		}
	}
	return strings.Join(addresses, ",")
}

// running holds the chats of each script.
var running sync.Map // of *testscript.TestScript to chan error

func startChats(ts *testscript.TestScript, address, key, model string, count, atOnce int) {
	addresses := strings.Split(address, ",")
	results := make(chan error, count)
	running.Store(ts, results)
	turns := make(chan int, count)
	for i := range count {
		turns <- i
	}
	close(turns)
	var group sync.WaitGroup
	for range atOnce {
		group.Go(func() {
			for i := range turns {
				results <- balancedChat(addresses, i, key, model)
			}
		})
	}
	go func() {
		group.Wait()
		close(results)
	}()
}

// balancedChat makes the i-th chat at the first host, from the i-th on, that
// takes the connection.
func balancedChat(addresses []string, i int, key, model string) error {
	var err error
	for n := range addresses {
		address := addresses[(i+n)%len(addresses)]
		_, err = streamChat(address, key, model, fmt.Sprintf("question %d", i))
		if err == nil {
			return nil
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return fmt.Errorf("chat %d at %s: %w %s", i, address, err, detailOf(err))
		}
	}
	return err
}

func waitChats(ts *testscript.TestScript) {
	results, ok := running.LoadAndDelete(ts)
	if !ok {
		ts.Fatalf("no chats were started")
	}
	served := 0
	for err := range results.(chan error) {
		ts.Check(err)
		served++
	}
	_, _ = fmt.Fprintf(ts.Stdout(), "%d chats served whole\n", served)
}
