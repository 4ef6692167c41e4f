package engine

import (
	"unicode"

	"github.com/cespare/xxhash/v2"

	"hawthornway/model"
)

// The vocabularies of generated answers.
var (
	latinWords  = []string{"the", "guardian", "meets", "flight", "at", "gate", "with", "booking", "confirmed", "and", "review", "driver", "cabinet", "crossover", "response", "falls", "below", "port", "damping", "note"}
	arabicWords = []string{"المرافق", "ينتظر", "الطفل", "عند", "البوابة", "مع", "الحجز", "مؤكد", "و", "الرحلة", "تصل", "في", "موعدها"}
)

// answer is the text that an engine generates. It depends only on the model, the
// prompt and the seed, so any engine can resume it.
type answer struct {
	seed  uint64
	words []string
	// length is the number of tokens, at most the request's limit.
	length int
	// truncated is set if the request's token limit ended the answer.
	truncated bool
}

func newAnswer(name model.Name, prompt string, seed int64, meanTokens, maxTokens int, ignoreEOS bool) answer {
	a := answer{seed: answerSeed(name, prompt, seed), words: latinWords}
	if hasArabic(prompt) {
		a.words = arabicWords
	}
	a.length = 1 + int(splitmix64(a.seed)%uint64(2*meanTokens))
	if maxTokens > 0 && (a.length > maxTokens || ignoreEOS) {
		a.length = maxTokens
		a.truncated = true
	}
	return a
}

// token returns the text of the token at an index.
func (a answer) token(index int) string {
	return a.words[splitmix64(a.seed+uint64(index)+1)%uint64(len(a.words))] + " "
}

// finishReason returns the finish_reason of the OpenAI API.
func (a answer) finishReason() string {
	if a.truncated {
		return "length"
	}
	return "stop"
}

func answerSeed(name model.Name, prompt string, seed int64) uint64 {
	hash := xxhash.Sum64String(string(name))
	hash = splitmix64(hash ^ xxhash.Sum64String(prompt))
	return splitmix64(hash ^ uint64(seed))
}

// splitmix64 is one step of the SplitMix64 generator, used as a hash finalizer.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

func hasArabic(text string) bool {
	for _, r := range text {
		if unicode.Is(unicode.Arabic, r) {
			return true
		}
	}
	return false
}
