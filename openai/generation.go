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

// The URL paths of the OpenAI API.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathModels      = "/v1/models"
)

const (
	// defaultMaxTokens limits the generated tokens if neither the caller nor the
	// model's configuration does.
	defaultMaxTokens team.Tokens = 1024
	// prefixBytes is the length of the prompt prefix that is hashed for cache
	// affinity.
	prefixBytes = 1024
)

// ParseGeneration parses a request body of one of the generation paths. The limit
// function returns the maximum number of tokens that a model may generate, or
// zero if it has no limit.
func ParseGeneration(path string, body []byte, limit func(model.Name) team.Tokens) (*call.Generation, error) {
	doc, err := parseObject(body)
	if err != nil {
		return nil, err
	}
	gen := &call.Generation{Path: path}
	for _, read := range []func(requestObject, *call.Generation) error{readModel, readStream, readPrompt} {
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

func readModel(doc requestObject, gen *call.Generation) error {
	name, err := doc.stringField("model")
	if err != nil {
		return err
	}
	if name == "" {
		return errors.New(`field "model" is missing`)
	}
	gen.Model = model.Name(name)
	choices, err := doc.countField("n")
	if err != nil {
		return err
	}
	if choices > 1 {
		return errors.New(`field "n" must be 1`)
	}
	return nil
}

func readStream(doc requestObject, gen *call.Generation) error {
	stream, err := doc.boolField("stream")
	if err != nil {
		return err
	}
	gen.Stream = stream
	options, _ := doc.get("stream_options")
	gen.IncludeUsage = options.Get("include_usage").Bool()
	if _, tools := doc.get("tools"); tools && !stream {
		return errors.New(`field "tools" needs "stream": true`)
	}
	return nil
}

func readPrompt(doc requestObject, gen *call.Generation) error {
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
	gen.PrefixHash = xxhash.Sum64String(value.Raw[:min(len(value.Raw), prefixBytes)])
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

// maxTokens returns the maximum number of tokens to generate: the number that the
// caller requests, capped at limit unless limit is zero. If the caller requests
// none, it is limit, or defaultMaxTokens without a limit.
func maxTokens(doc requestObject, limit team.Tokens) (team.Tokens, error) {
	legacy, err := doc.countField("max_tokens")
	if err != nil {
		return 0, err
	}
	requested, err := doc.countField("max_completion_tokens")
	if err != nil {
		return 0, err
	}
	if requested == 0 {
		requested = legacy
	}
	tokens := team.Tokens(requested)
	if limit > 0 && (tokens == 0 || tokens > limit) {
		tokens = limit
	}
	if tokens == 0 {
		tokens = defaultMaxTokens
	}
	return tokens, nil
}

// estimateTokens returns a high estimate of a prompt's tokens: half a token for
// each ASCII byte and one for each other character. If the engine counts more,
// the rest is charged when the call ends.
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

// engineBody returns the request body for engines. It always requests a stream
// with usage. It sets a seed if the caller has not, so that another engine can
// resume the stream.
func engineBody(doc requestObject, tokens team.Tokens) []byte {
	replacements := map[string]string{
		"stream":         "true",
		"stream_options": `{"include_usage":true}`,
		"max_tokens":     strconv.FormatInt(int64(tokens), 10),
	}
	if _, ok := doc.get("seed"); !ok {
		replacements["seed"] = strconv.FormatInt(rand.Int64N(1<<31), 10)
	}
	return doc.replace(replacements, "max_completion_tokens")
}
