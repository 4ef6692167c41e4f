package engine

import (
	"unicode"

	"github.com/cespare/xxhash/v2"

	"hawthornway/model"
)

// The words that answers are made of.
var (
	latinWords  = []string{"the", "guardian", "meets", "flight", "at", "gate", "with", "booking", "confirmed", "and", "review", "driver", "cabinet", "crossover", "response", "falls", "below", "port", "damping", "note"}
	arabicWords = []string{"المرافق", "ينتظر", "الطفل", "عند", "البوابة", "مع", "الحجز", "مؤكد", "و", "الرحلة", "تصل", "في", "موعدها"}
)

// answer is the text that an engine generates. It follows from the model, the
// prompt and the seed alone, so that any engine can continue it.
type answer struct {
	seed  uint64
	words []string
	// length is the number of tokens.
	length int
	// limited says that the answer was cut at the request's limit.
	limited bool
}

func newAnswer(name model.Name, prompt string, seed int64, mean, limit int, ignoreEnd bool) answer {
	a := answer{seed: answerSeed(name, prompt, seed), words: latinWords}
	if hasArabic(prompt) {
		a.words = arabicWords
	}
	a.length = 1 + int(mix(a.seed)%uint64(2*mean))
	if limit > 0 && (a.length > limit || ignoreEnd) {
		a.length = limit
		a.limited = true
	}
	return a
}

// token returns the text of one token.
func (a answer) token(at int) string {
	return a.words[mix(a.seed+uint64(at)+1)%uint64(len(a.words))] + " "
}

// finishReason returns OpenAI's finish_reason.
func (a answer) finishReason() string {
	if a.limited {
		return "length"
	}
	return "stop"
}

func answerSeed(name model.Name, prompt string, seed int64) uint64 {
	hash := xxhash.Sum64String(string(name))
	hash = mix(hash ^ xxhash.Sum64String(prompt))
	return mix(hash ^ uint64(seed))
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
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
