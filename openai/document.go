package openai

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/tidwall/gjson"
)

// maxNesting bounds the nesting of a request's JSON.
const maxNesting = 64

// field is one field of a request's outermost object.
type field struct {
	// name is in lower case, since some decoders take either case.
	name  string
	key   string
	value gjson.Result
}

// document is a request's outermost object, with each field once.
type document []field

// parseDocument reads a JSON object. It refuses deep nesting and duplicate
// fields, which an engine could read differently.
func parseDocument(body []byte) (document, error) {
	if !utf8.Valid(body) {
		return nil, errors.New("body is not valid UTF-8")
	}
	if err := checkNesting(body); err != nil {
		return nil, err
	}
	if !gjson.ValidBytes(body) {
		return nil, errors.New("body is not valid JSON, or has text after its end")
	}
	whole := gjson.ParseBytes(body)
	if !whole.IsObject() {
		return nil, errors.New("body is not a JSON object")
	}
	doc := make(document, 0, 8)
	var err error
	whole.ForEach(func(key, value gjson.Result) bool {
		name := strings.ToLower(key.String())
		if _, twice := doc.get(name); twice {
			err = fmt.Errorf("field %q appears twice", name)
			return false
		}
		doc = append(doc, field{name: name, key: key.Raw, value: value})
		return true
	})
	return doc, err
}

// checkNesting bounds the depth of objects and arrays.
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

// get returns a field that is present and not null.
func (d document) get(name string) (gjson.Result, bool) {
	for _, f := range d {
		if f.name == name {
			return f.value, f.value.Type != gjson.Null
		}
	}
	return gjson.Result{}, false
}

// text returns a string field, or an empty string if it is missing.
func (d document) text(name string) (string, error) {
	value, ok := d.get(name)
	if ok && value.Type != gjson.String {
		return "", fmt.Errorf("field %q must be a string", name)
	}
	return value.String(), nil
}

// flag returns a boolean field, or false if it is missing.
func (d document) flag(name string) (bool, error) {
	value, ok := d.get(name)
	if ok && !value.IsBool() {
		return false, fmt.Errorf("field %q must be true or false", name)
	}
	return value.Bool(), nil
}

// number returns a whole number that is at least 1, or 0 if it is missing.
func (d document) number(name string) (int64, error) {
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

// with returns the object with some fields in place of its own. The fields'
// values are JSON.
func (d document) with(replaced map[string]string, left ...string) []byte {
	text := []byte{'{'}
	for _, f := range d {
		if _, ok := replaced[f.name]; ok || slices.Contains(left, f.name) {
			continue
		}
		text = append(text, f.key...)
		text = append(text, ':')
		text = append(text, f.value.Raw...)
		text = append(text, ',')
	}
	for name, value := range replaced {
		text = append(text, '"')
		text = append(text, name...)
		text = append(text, '"', ':')
		text = append(text, value...)
		text = append(text, ',')
	}
	text[len(text)-1] = '}'
	return text
}
