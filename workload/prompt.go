package workload

import (
	"math/rand/v2"
	"strings"
)

// Vocabulary of the generated prompts.
var (
	englishWords = strings.Fields("please draft a handover brief for the guardian of a child on flight and say when the escort meets them at gate or review this cabinet with its port crossover and measurement log below four hundred hertz")
	arabicWords  = strings.Fields("يرجى كتابة ملخص تسليم لولي أمر الطفل على الرحلة ومتى يلتقي المرافق بهم عند البوابة في المطار")
)

// drawPrompt returns a text of random words: Arabic for one third of the prompts,
// English for the others.
func drawPrompt(rng *rand.Rand, words int) string {
	source := englishWords
	if rng.IntN(3) == 0 {
		source = arabicWords
	}
	var text strings.Builder
	for range words {
		text.WriteString(source[rng.IntN(len(source))])
		text.WriteByte(' ')
	}
	return text.String()
}
