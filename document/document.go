// Package document decodes YAML files strictly. It limits their size, depth and
// number of tokens, rejects anchors, aliases, tags and unknown or repeated
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

// The maximum size, nesting depth and number of YAML tokens of one file.
const (
	MaxBytes  = 256 << 10
	MaxDepth  = 16
	MaxTokens = 200_000
)

// minIndent is the number of spaces that estimateDepth counts as one level.
const minIndent = 2

var lineEndings = strings.NewReplacer("\r\n", "\n", "\r", "\n")

// blockScalar matches the start of a block scalar. Block scalars are rejected
// because the YAML library takes time quadratic in their number of lines, and no
// field needs one.
var blockScalar = regexp.MustCompile(`(?m)(^|[ \t])[|>][0-9+-]*[ \t]*(#.*)?$`)

// Document is a decoded file: its name and the lines of its fields.
type Document struct {
	name  string
	lines map[string]int
}

// Option configures Decode.
type Option func(*decoder)

// WithUnknownFields skips fields that the struct does not have instead of
// reporting them, for files that a newer version has accepted.
func WithUnknownFields() Option {
	return func(d *decoder) { d.skipUnknown = true }
}

// Decode decodes the YAML of a file into the struct that into points to. It
// returns the lines of the fields that it found and all problems. Struct fields
// without a yaml tag are not set.
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

// Line returns the line of a field, or that of the closest enclosing field that
// the file sets.
func (d *Document) Line(field string) int {
	for field != "" {
		if line, ok := d.lines[field]; ok {
			return line
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
	return 0
}

// Problem returns a problem of a field, with its line.
func (d *Document) Problem(field, format string, args ...any) Problem {
	return Problem{File: d.name, Line: d.Line(field), Field: field, Reason: fmt.Sprintf(format, args...)}
}

// parse returns the body of the only document in the data, or nil if it is
// empty.
func parse(name string, data []byte) (body ast.Node, problem *Problem) {
	fail := func(line int, format string, args ...any) *Problem {
		return &Problem{File: name, Line: line, Reason: fmt.Sprintf(format, args...)}
	}
	// The library can panic on malformed input, which is reported as a problem
	// of the file.
	defer func() {
		if recover() != nil {
			body, problem = nil, fail(0, "is not valid YAML")
		}
	}()
	if len(data) > MaxBytes {
		return nil, fail(0, "has %d bytes, more than %d", len(data), MaxBytes)
	}
	text := lineEndings.Replace(string(data))
	if line, depth := estimateDepth(text); depth > MaxDepth {
		return nil, fail(line, "is nested more than %d levels deep", MaxDepth)
	}
	if at := blockScalar.FindStringIndex(text); at != nil {
		line := 1 + strings.Count(text[:at[1]], "\n")
		return nil, fail(line, "block texts are not allowed; quote the text instead")
	}
	tokens := lexer.Tokenize(text)
	if line, reason := findForbidden(tokens); reason != "" {
		return nil, fail(line, "%s", reason)
	}
	file, err := parser.Parse(tokens, 0)
	if err != nil {
		line, reason := syntaxReason(err)
		return nil, fail(line, "%s", reason)
	}
	return singleBody(file, fail)
}

// singleBody returns the body of the only document that is not empty.
func singleBody(file *ast.File, fail func(int, string, ...any) *Problem) (ast.Node, *Problem) {
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

// findForbidden returns the line of the first token that is not allowed, and
// why.
func findForbidden(tokens token.Tokens) (int, string) {
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

// estimateDepth returns an upper estimate of the nesting depth, and the line of
// the deepest nesting. It does not recurse, so that deep nesting is rejected
// before the recursive parser runs.
func estimateDepth(text string) (line, depth int) {
	open := 0
	for number, row := range strings.Split(text, "\n") {
		content := strings.TrimLeft(row, " ")
		indent := (len(row) - len(content)) / minIndent
		entries, content := countEntries(content)
		rowDepth := 0
		rowDepth, open = scanBrackets(content, open)
		rowDepth += indent + entries
		if rowDepth > depth {
			line, depth = number+1, rowDepth
		}
	}
	return line, depth
}

// countEntries counts the list entries and complex keys that open at the start
// of a line, and returns the rest of the line.
func countEntries(content string) (int, string) {
	count := 0
	for strings.HasPrefix(content, "- ") || strings.HasPrefix(content, "? ") {
		count++
		content = strings.TrimLeft(content[2:], " ")
	}
	return count, content
}

// scanBrackets counts the brackets of a line at whose start a number of them is
// open. It returns the highest number that is open in the line, and the number
// open at its end.
func scanBrackets(content string, open int) (deepest, end int) {
	deepest = open
	for i, r := range content {
		switch r {
		case '[', '{':
			open++
			deepest = max(deepest, open)
		case ']', '}':
			open = max(open-1, 0)
		case '#':
			if i == 0 || content[i-1] == ' ' {
				return deepest, open
			}
		}
	}
	return deepest, open
}
