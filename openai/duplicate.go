package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// checkDuplicates refuses a JSON object that has a field twice. Fields that
// differ only in case count as the same, since decoders take either.
func checkDuplicates(body []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	first, err := decoder.Token()
	if err != nil || first != json.Delim('{') {
		return errors.New("body is not a JSON object")
	}
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return fmt.Errorf("body is not valid JSON: %w", err)
		}
		name := strings.ToLower(token.(string)) // the decoder checks that it is a string
		if seen[name] {
			return fmt.Errorf("field %q appears twice", name)
		}
		seen[name] = true
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return fmt.Errorf("field %q is not valid JSON: %w", name, err)
		}
	}
	if _, err := decoder.Token(); err != nil {
		return fmt.Errorf("body is not valid JSON: %w", err)
	}
	if decoder.More() {
		return errors.New("body has text after its JSON object")
	}
	return nil
}
