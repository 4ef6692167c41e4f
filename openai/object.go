package openai

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/tidwall/gjson"
)

// maxNesting is the maximum nesting depth of a request's JSON.
const maxNesting = 64

// field is one field of a request's top-level object.
type field struct {
	// name is in lower case, since some decoders ignore case.
	name   string
	rawKey string
	value  gjson.Result
}

// requestObject is a request's top-level object, with unique field names.
type requestObject []field

// parseObject parses a JSON object. It rejects deep nesting and duplicate
// fields, which an engine could interpret differently.
func parseObject(body []byte) (requestObject, error) {
	if !utf8.Valid(body) {
		return nil, errors.New("body is not valid UTF-8")
	}
	if err := checkNesting(body); err != nil {
		return nil, err
	}
	if !gjson.ValidBytes(body) {
		return nil, errors.New("body is not valid JSON, or has text after its end")
	}
	root := gjson.ParseBytes(body)
	if !root.IsObject() {
		return nil, errors.New("body is not a JSON object")
	}
	doc := make(requestObject, 0, 8)
	var err error
	root.ForEach(func(key, value gjson.Result) bool {
		name := strings.ToLower(key.String())
		if _, duplicate := doc.get(name); duplicate {
			err = fmt.Errorf("field %q appears twice", name)
			return false
		}
		doc = append(doc, field{name: name, rawKey: key.Raw, value: value})
		return true
	})
	return doc, err
}

// checkNesting checks the nesting depth of objects and arrays.
func checkNesting(body []byte) error {
	depth := 0
	inString, escaped := false, false
	for _, b := range body {
		switch {
		case escaped:
			escaped = false
		case inString && b == '\\':
			escaped = true
		case b == '"':
			inString = !inString
		case inString:
		case b == '{' || b == '[':
			depth++
		case b == '}' || b == ']':
			depth--
		}
		if depth > maxNesting {
			return fmt.Errorf("body is nested deeper than %d levels", maxNesting)
		}
	}
	return nil
}

// get returns a field and reports whether it is present and not null.
func (d requestObject) get(name string) (gjson.Result, bool) {
	for _, f := range d {
		if f.name == name {
			return f.value, f.value.Type != gjson.Null
		}
	}
	return gjson.Result{}, false
}

// stringField returns a string field, or an empty string if it is missing.
func (d requestObject) stringField(name string) (string, error) {
	value, ok := d.get(name)
	if ok && value.Type != gjson.String {
		return "", fmt.Errorf("field %q must be a string", name)
	}
	return value.String(), nil
}

// boolField returns a boolean field, or false if it is missing.
func (d requestObject) boolField(name string) (bool, error) {
	value, ok := d.get(name)
	if ok && !value.IsBool() {
		return false, fmt.Errorf("field %q must be true or false", name)
	}
	return value.Bool(), nil
}

// countField returns a whole number that is at least 1, or 0 if it is missing.
func (d requestObject) countField(name string) (int64, error) {
	value, ok := d.get(name)
	if !ok {
		return 0, nil
	}
	if value.Type != gjson.Number || value.Num != float64(value.Int()) {
		return 0, fmt.Errorf("field %q must be a whole number", name)
	}
	if value.Int() < 1 {
		return 0, fmt.Errorf("field %q must be at least 1", name)
	}
	return value.Int(), nil
}

// replace returns the object as JSON with some fields omitted and others
// replaced or added. Replacements maps field names to JSON values.
func (d requestObject) replace(replacements map[string]string, omitted ...string) []byte {
	text := []byte{'{'}
	for _, f := range d {
		if _, ok := replacements[f.name]; ok || slices.Contains(omitted, f.name) {
			continue
		}
		text = append(text, f.rawKey...)
		text = append(text, ':')
		text = append(text, f.value.Raw...)
		text = append(text, ',')
	}
	for name, value := range replacements {
		text = append(text, '"')
		text = append(text, name...)
		text = append(text, '"', ':')
		text = append(text, value...)
		text = append(text, ',')
	}
	text[len(text)-1] = '}'
	return text
}
