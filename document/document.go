// Package document decodes YAML files strictly. It bounds their size, depth
// and number of values, refuses anchors, aliases, tags and unknown or repeated
// fields, and reports all problems at once, each with its line.
package document

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// The bounds of one file.
const (
	MaxBytes  = 256 << 10
	MaxDepth  = 16
	MaxTokens = 200_000
)

// minIndent is the narrowest indent that the depth estimate counts as a level.
const minIndent = 2

var lineEnds = strings.NewReplacer("\r\n", "\n", "\r", "\n")

// blockText finds block scalars. The library takes time quadratic in their
// lines, and no field needs one.
var blockText = regexp.MustCompile(`(?m)(^|[ \t])[|>][0-9+-]*[ \t]*(#.*)?$`)

// Document knows the lines of a decoded file's fields.
type Document struct {
	name  string
	lines map[string]int
}

// Option changes how a file is decoded.
type Option func(*decoder)

// WithUnknownFields skips fields that the struct does not have, for files that
// a newer version has accepted.
func WithUnknownFields() Option {
	return func(d *decoder) { d.skipUnknown = true }
}

// Decode reads the YAML of a file into a struct. It returns the lines of the
// fields that it found and all problems. Fields without a yaml tag are skipped.
func Decode(name string, data []byte, into any, opts ...Option) (*Document, Problems) {
	doc := &Document{name: name, lines: map[string]int{}}
	body, problem := parse(name, data)
	if problem != nil {
		return doc, Problems{*problem}
	}
	if body == nil {
		return doc, nil
	}
	d := &decoder{doc: doc}
	for _, opt := range opts {
		opt(d)
	}
	d.value("", body, reflect.ValueOf(into).Elem())
	return doc, d.problems
}

// Name returns the file's name.
func (d *Document) Name() string { return d.name }

// Has reports whether the file sets the field.
func (d *Document) Has(field string) bool {
	_, ok := d.lines[field]
	return ok
}

// Line returns the line of a field, or that of the nearest field around it.
func (d *Document) Line(field string) int {
	for field != "" {
		if line, ok := d.lines[field]; ok {
			return line
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
	return 0
}

// Problem returns a problem of a field at its line.
func (d *Document) Problem(field, format string, args ...any) Problem {
	return Problem{File: d.name, Line: d.Line(field), Field: field, Reason: fmt.Sprintf(format, args...)}
}

// parse returns the body of the only document in the data, or nil if it is
// empty.
func parse(name string, data []byte) (body ast.Node, problem *Problem) {
	fail := func(line int, format string, args ...any) *Problem {
		return &Problem{File: name, Line: line, Reason: fmt.Sprintf(format, args...)}
	}
	// The library may panic on malformed input, which is no fault of the host.
	defer func() {
		if recover() != nil {
			body, problem = nil, fail(0, "is not valid YAML")
		}
	}()
	if len(data) > MaxBytes {
		return nil, fail(0, "has %d bytes, more than %d", len(data), MaxBytes)
	}
	text := lineEnds.Replace(string(data))
	if line, depth := deepest(text); depth > MaxDepth {
		return nil, fail(line, "is nested more than %d levels deep", MaxDepth)
	}
	if at := blockText.FindStringIndex(text); at != nil {
		line := 1 + strings.Count(text[:at[1]], "\n")
		return nil, fail(line, "block texts are not allowed; quote the text instead")
	}
	tokens := lexer.Tokenize(text)
	if line, reason := forbidden(tokens); reason != "" {
		return nil, fail(line, "%s", reason)
	}
	file, err := parser.Parse(tokens, 0)
	if err != nil {
		line, reason := syntaxReason(err)
		return nil, fail(line, "%s", reason)
	}
	return onlyBody(file, fail)
}

func onlyBody(file *ast.File, fail func(int, string, ...any) *Problem) (ast.Node, *Problem) {
	var body ast.Node
	for _, doc := range file.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.CommentType {
			continue
		}
		if body != nil {
			return nil, fail(doc.Body.GetToken().Position.Line, "holds more than one YAML document")
		}
		body = doc.Body
	}
	return body, nil
}

func syntaxReason(err error) (int, string) {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.Token != nil {
		return syntax.Token.Position.Line, "is not valid YAML: " + syntax.Message
	}
	return 0, "is not valid YAML"
}

// forbidden returns the first token that settings may not hold.
func forbidden(tokens token.Tokens) (int, string) {
	if len(tokens) > MaxTokens {
		return 0, fmt.Sprintf("has more than %d tokens", MaxTokens)
	}
	for _, t := range tokens {
		switch t.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType:
			return t.Position.Line, "anchors, aliases and merges are not allowed"
		case token.TagType, token.DirectiveType:
			return t.Position.Line, "tags and directives are not allowed"
		case token.MappingKeyType:
			return t.Position.Line, "complex keys are not allowed"
		}
	}
	return 0, ""
}

// deepest returns an upper estimate of the deepest nesting, and its line. It
// counts without recursion, before the parser sees the text.
func deepest(text string) (line, depth int) {
	flow := 0
	for number, row := range strings.Split(text, "\n") {
		content := strings.TrimLeft(row, " ")
		indent := (len(row) - len(content)) / minIndent
		entries, content := entriesOf(content)
		deep := 0
		deep, flow = brackets(content, flow)
		deep += indent + entries
		if deep > depth {
			line, depth = number+1, deep
		}
	}
	return line, depth
}

// entriesOf counts the list entries that open at the start of a line.
func entriesOf(content string) (int, string) {
	count := 0
	for strings.HasPrefix(content, "- ") || strings.HasPrefix(content, "? ") {
		count++
		content = strings.TrimLeft(content[2:], " ")
	}
	return count, content
}

// brackets follows the brackets of one line, which starts inside open ones. It
// returns the most that were open and those open at the end.
func brackets(content string, open int) (most, end int) {
	most = open
	for i, r := range content {
		switch r {
		case '[', '{':
			open++
			most = max(most, open)
		case ']', '}':
			open = max(open-1, 0)
		case '#':
			if i == 0 || content[i-1] == ' ' {
				return most, open
			}
		}
	}
	return most, open
}
