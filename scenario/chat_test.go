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

// chatTimeout limits the duration of one chat.
const chatTimeout = 60 * time.Second

// chatCommand implements chat ADDRESS KEY MODEL PROMPT. It streams one completion
// with the official OpenAI client and prints its text. With "!" the request must
// be refused.
func chatCommand(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 4 {
		ts.Fatalf("usage: chat ADDRESS KEY MODEL PROMPT")
	}
	text, err := streamChat(args[0], args[1], args[2], args[3])
	if neg {
		if err == nil {
			ts.Fatalf("chat was served: %s", text)
		}
		_, _ = fmt.Fprintln(ts.Stdout(), err, errorCode(err))
		return
	}
	ts.Check(err)
	_, _ = fmt.Fprintln(ts.Stdout(), text)
}

// errorBody returns the complete body of an error response.
func errorBody(err error) string {
	var refused *openai.Error
	if errors.As(err, &refused) {
		return refused.RawJSON()
	}
	return ""
}

// errorCode returns the error code of an error response.
func errorCode(err error) string {
	var refused *openai.Error
	if errors.As(err, &refused) {
		return refused.Code
	}
	return ""
}

// streamChat returns the text of a complete streamed answer.
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
	accumulator := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		accumulator.AddChunk(stream.Current())
	}
	if err := stream.Err(); err != nil {
		return "", err
	}
	if len(accumulator.Choices) == 0 || accumulator.Choices[0].FinishReason == "" {
		return "", fmt.Errorf("answer has no finish reason")
	}
	if accumulator.Usage.CompletionTokens == 0 {
		return "", fmt.Errorf("answer has no usage")
	}
	return accumulator.Choices[0].Message.Content, nil
}

// chatsCommand streams many completions in the background, AT-ONCE of them at a
// time:
//
//	chats start ADDRESS[,ADDRESS]... KEY MODEL COUNT AT-ONCE
//	chats start-except HOST IP KEY MODEL COUNT AT-ONCE
//	chats wait
//
// start-except sends to all hosts of domain d1 except HOST. Hosts that refuse the
// connection are skipped, as a load balancer does. wait waits for the completions;
// all must be served completely.
func chatsCommand(ts *testscript.TestScript, neg bool, args []string) {
	switch {
	case neg || len(args) == 0:
		ts.Fatalf("usage: chats start ADDRESS KEY MODEL COUNT AT-ONCE | chats wait")
	case args[0] == "wait":
		waitChats(ts)
	case len(args) == 7 && args[0] == "start-except":
		chatsCommand(ts, neg, append([]string{"start", callerAddressesExcept(args[1], args[2])}, args[3:]...))
	case len(args) == 6:
		count, err := strconv.Atoi(args[4])
		ts.Check(err)
		atOnce, err := strconv.Atoi(args[5])
		ts.Check(err)
		startChats(ts, args[1], args[2], args[3], count, atOnce)
	}
}

// callerAddressesExcept returns the addresses for callers of all hosts of domain
// d1 except one. The port of host hN is 7N01.
func callerAddressesExcept(host, ip string) string {
	var addresses []string
	for _, other := range []string{"h1", "h4", "h5"} {
		if other != host {
			addresses = append(addresses, ip+":7"+other[1:]+"01")
		}
	}
	return strings.Join(addresses, ",")
}

// runningChats holds the results of the background chats of each script.
var runningChats sync.Map // of *testscript.TestScript to chan error

func startChats(ts *testscript.TestScript, address, key, model string, count, atOnce int) {
	addresses := strings.Split(address, ",")
	results := make(chan error, count)
	runningChats.Store(ts, results)
	indexes := make(chan int, count)
	for i := range count {
		indexes <- i
	}
	close(indexes)
	var group sync.WaitGroup
	for range atOnce {
		group.Go(func() {
			for i := range indexes {
				results <- chatWithFailover(addresses, i, key, model)
			}
		})
	}
	go func() {
		group.Wait()
		close(results)
	}()
}

// chatWithFailover makes the i-th chat. It starts with the i-th host and goes on
// to the next one if the connection is refused.
func chatWithFailover(addresses []string, i int, key, model string) error {
	var err error
	for n := range addresses {
		address := addresses[(i+n)%len(addresses)]
		_, err = streamChat(address, key, model, fmt.Sprintf("question %d", i))
		if err == nil {
			return nil
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return fmt.Errorf("chat %d at %s: %w %s", i, address, err, errorBody(err))
		}
	}
	return err
}

func waitChats(ts *testscript.TestScript) {
	results, ok := runningChats.LoadAndDelete(ts)
	if !ok {
		ts.Fatalf("no chats are running")
	}
	served := 0
	for err := range results.(chan error) {
		ts.Check(err)
		served++
	}
	_, _ = fmt.Fprintf(ts.Stdout(), "%d chats served completely\n", served)
}
