package openai

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"hawthornway/call"
	"hawthornway/model"
	"hawthornway/team"
)

// The paths of the callers' protocol.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathModels      = "/v1/models"
)

const (
	// defaultMaxTokens is the most that is generated where neither the caller
	// nor the model's configuration says so.
	defaultMaxTokens team.Tokens = 1024
	// prefixBytes is the length of the prompt's beginning that decides cache
	// affinity.
	prefixBytes = 1024
)

// ParseGeneration reads a request body of one of the generation paths. Limit
// gives the most tokens that the named model may generate, or zero.
func ParseGeneration(path string, body []byte, limit func(model.Name) team.Tokens) (*call.Generation, error) {
	doc, err := parseDocument(body)
	if err != nil {
		return nil, err
	}
	gen := &call.Generation{Path: path}
	for _, read := range []func(document, *call.Generation) error{readModel, readStream, readPrompt} {
		if err := read(doc, gen); err != nil {
			return nil, err
		}
	}
	gen.MaxTokens, err = maxTokens(doc, limit(gen.Model))
	if err != nil {
		return nil, err
	}
	gen.EngineBody = engineBody(doc, gen.MaxTokens)
	return gen, nil
}

func readModel(doc document, gen *call.Generation) error {
	name, err := doc.text("model")
	if err != nil {
		return err
	}
	if name == "" {
		return errors.New(`field "model" is missing`)
	}
	gen.Model = model.Name(name)
	answers, err := doc.number("n")
	if err != nil {
		return err
	}
	if answers > 1 {
		return errors.New(`field "n" must be 1`)
	}
	return nil
}

func readStream(doc document, gen *call.Generation) error {
	stream, err := doc.flag("stream")
	if err != nil {
		return err
	}
	gen.Stream = stream
	options, _ := doc.get("stream_options")
	gen.Usage = options.Get("include_usage").Bool()
	if _, tools := doc.get("tools"); tools && !stream {
		return errors.New(`field "tools" needs "stream": true`)
	}
	return nil
}

func readPrompt(doc document, gen *call.Generation) error {
	name := "messages"
	if gen.Path == PathCompletions {
		name = "prompt"
	}
	value, ok := doc.get(name)
	if !ok {
		return fmt.Errorf("field %q is missing", name)
	}
	if err := checkPrompt(name, value); err != nil {
		return err
	}
	gen.PromptTokens = estimateTokens(value.Raw)
	gen.Prefix = xxhash.Sum64String(value.Raw[:min(len(value.Raw), prefixBytes)])
	return nil
}

func checkPrompt(name string, value gjson.Result) error {
	if name == "prompt" {
		if value.Type != gjson.String {
			return errors.New(`field "prompt" must be a string`)
		}
		return nil
	}
	if !value.IsArray() {
		return errors.New(`field "messages" must be a list of objects`)
	}
	count := 0
	var err error
	value.ForEach(func(_, message gjson.Result) bool {
		if message.Get("role").String() == "" {
			err = fmt.Errorf(`field "messages[%d].role" is missing`, count)
			return false
		}
		count++
		return true
	})
	if err == nil && count == 0 {
		return errors.New(`field "messages" is empty`)
	}
	return err
}

// maxTokens returns the most tokens to generate: what the caller asks for, but
// at most bound unless that is zero.
func maxTokens(doc document, bound team.Tokens) (team.Tokens, error) {
	older, err := doc.number("max_tokens")
	if err != nil {
		return 0, err
	}
	asked, err := doc.number("max_completion_tokens")
	if err != nil {
		return 0, err
	}
	if asked == 0 {
		asked = older
	}
	most := team.Tokens(asked)
	if bound > 0 && (most == 0 || most > bound) {
		most = bound
	}
	if most == 0 {
		most = defaultMaxTokens
	}
	return most, nil
}

// estimateTokens bounds a prompt's tokens: half a token for each ASCII byte,
// one for each other character. What an engine counts above it is charged when
// the call ends.
func estimateTokens(prompt string) team.Tokens {
	ascii, others := 0, 0
	for _, r := range prompt {
		if r < utf8.RuneSelf {
			ascii++
		} else {
			others++
		}
	}
	return team.Tokens(others + (ascii+1)/2)
}

// engineBody returns the body for engines: always a stream with usage, with a
// seed, so that a broken stream can be continued elsewhere.
func engineBody(doc document, most team.Tokens) []byte {
	replaced := map[string]string{
		"stream":         "true",
		"stream_options": `{"include_usage":true}`,
		"max_tokens":     strconv.FormatInt(int64(most), 10),
	}
	if _, ok := doc.get("seed"); !ok {
		replaced["seed"] = strconv.FormatInt(rand.Int64N(1<<31), 10)
	}
	return doc.with(replaced, "max_completion_tokens")
}
